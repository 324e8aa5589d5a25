package router

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
)

// Size of the random test.
const (
	randomSeeds    = 250
	randomClients  = 8
	randomRequests = 4 // per client
)

// Many concurrent clients, some of which pipeline requests, use workers that answer, close, delay, repeat, swap and
// corrupt responses at random, by seed. No client gets the answer of another request, no non-repeatable request runs
// twice, no request that ran is refused as not run, and no correct answer is lost.
func TestRandomWorkersAndClients(t *testing.T) {
	t.Parallel()
	behaviors, statuses := map[workerBehavior]int{}, map[int]int{}
	for round := range 10 {
		var workers []*scriptedWorker
		for i := range 3 {
			workers = append(workers, newScriptedWorker(t, fmt.Sprint("i-", i)))
		}
		v := newRelayRouter(t, workers...)
		shared := &randomWorkers{history: newRelayHistory(), behaviors: behaviors}
		for _, s := range workers {
			go shared.serve(s)
		}
		for n := range randomSeeds / 10 {
			seed := uint64(round*randomSeeds/10 + n)
			shared.mu.Lock()
			shared.seed = seed
			shared.mu.Unlock()
			var g sync.WaitGroup
			for client := range randomClients {
				g.Go(func() { runRandomClient(t, v, shared.history, seed, client) })
			}
			g.Wait()
			if violations := shared.history.check(); len(violations) > 0 {
				t.Fatalf("seed %d: %d violations, the first: %s", seed, len(violations), violations[0])
			}
		}
		for _, a := range shared.history.responses {
			statuses[a.status]++
		}
	}
	for behavior := range workerBehaviors {
		if behaviors[behavior] == 0 {
			t.Errorf("behavior %d never occurred", behavior)
		}
	}
	if total := 10 * randomSeeds / 10 * randomClients * randomRequests; statuses[200] < total/2 || statuses[502] == 0 || statuses[503] == 0 {
		t.Errorf("answers by status: %v", statuses)
	}
	t.Logf("answers by status: %v; workers' behaviors: %v", statuses, behaviors)
}

// runRandomClient sends its requests in batches on one connection, and on a new one once that has ended.
func runRandomClient(t *testing.T, v *Router, history *relayHistory, seed uint64, client int) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)))
	c := dialRelayClient(t, v)
	for n := 0; n < randomRequests; {
		var ids []string
		text := ""
		for range min(1+rng.IntN(3), randomRequests-n) {
			id := fmt.Sprintf("s%d-c%d-%d", seed, client, n)
			route := []string{"pure", "effectful", "effectful", "streaming", "resumable"}[rng.IntN(5)]
			body := fmt.Sprint("prompt ", rng.Uint64())
			history.recordRequest(id, route, body)
			text += requestText(route, id, body)
			ids = append(ids, id)
			n++
		}
		_, _ = io.WriteString(c, text)
		for _, id := range ids {
			a := c.receive()
			history.recordResponse(id, a)
			if a.status == 0 || !a.complete || a.close {
				c.Close()
				c = dialRelayClient(t, v)
				break // the requests after it were not read or not answered
			}
		}
	}
}
