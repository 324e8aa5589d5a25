package router

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
)

// What the random test plays.
const (
	randomSeeds    = 250
	randomCallers  = 8
	randomRequests = 4 // of each caller
)

// Many callers at once, some of whom send on before they are answered, against workers that answer, break off, delay,
// double, swap and garble as each seed draws it: whatever happens, nobody gets another's answer, nothing that may not
// repeat runs twice, nothing is promised not to run that did, and no right answer is lost.
func TestRandomWorkersAndCallers(t *testing.T) {
	t.Parallel()
	ways, statuses := map[randomWay]int{}, map[int]int{}
	for lap := range 10 {
		var l []*scriptedWorker
		for i := range 3 {
			l = append(l, newScriptedWorker(t, fmt.Sprint("i-", i)))
		}
		v := relayRig(t, l...)
		current := &randomWorkers{notes: newRelayNotes(), ways: ways}
		for _, s := range l {
			go current.serve(s)
		}
		for n := range randomSeeds / 10 {
			seed := uint64(lap*randomSeeds/10 + n)
			current.mu.Lock()
			current.seed = seed
			current.mu.Unlock()
			var g sync.WaitGroup
			for caller := range randomCallers {
				g.Go(func() { randomCaller(t, v, current.notes, seed, caller) })
			}
			g.Wait()
			if faults := current.notes.judge(); len(faults) > 0 {
				t.Fatalf("seed %d: %d breaches, the first: %s", seed, len(faults), faults[0])
			}
		}
		for _, a := range current.notes.answers {
			statuses[a.status]++
		}
	}
	for way := range randomWays {
		if ways[way] == 0 {
			t.Errorf("way %d was never taken", way)
		}
	}
	if all := 10 * randomSeeds / 10 * randomCallers * randomRequests; statuses[200] < all/2 || statuses[502] == 0 || statuses[503] == 0 {
		t.Errorf("answers by status: %v", statuses)
	}
	t.Logf("answers by status: %v; workers' ways: %v", statuses, ways)
}

// randomCaller sends its requests in batches over one connection, and over a new one once that has ended.
func randomCaller(t *testing.T, v *Router, notes *relayNotes, seed uint64, caller int) {
	draw := rand.New(rand.NewPCG(seed, uint64(caller)))
	c := clientConn(t, v)
	for n := 0; n < randomRequests; {
		var ids []string
		text := ""
		for range min(1+draw.IntN(3), randomRequests-n) {
			id := fmt.Sprintf("s%d-c%d-%d", seed, caller, n)
			route := []string{"pure", "effectful", "effectful", "streaming", "resumable"}[draw.IntN(5)]
			body := fmt.Sprint("prompt ", draw.Uint64())
			notes.ask(id, route, body)
			text += requestText(route, id, body)
			ids = append(ids, id)
			n++
		}
		_, _ = io.WriteString(c, text)
		for _, id := range ids {
			a := c.receive()
			notes.answer(id, a)
			if a.status == 0 || !a.whole || a.close {
				c.Close()
				c = clientConn(t, v)
				break // those behind it were never read, or never answered
			}
		}
	}
}
