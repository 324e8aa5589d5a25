package router

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"seamshunt/internal/units"
)

// asked is one request of a client to a router that leaves, and how it ended.
type asked struct {
	route    string
	sent     units.Time
	timeLeft time.Duration
	ended    units.Time
	clientAnswer
}

// lost says whether a request was begun and cut though its time was not over. What is under way when the router has gone
// is cut then, as its process ends. One that was sent while the router still took everything may be cut so.
func (a asked) lost(d *departure, gone units.Time) bool {
	cut := a.status != 0 && !a.whole || a.ended > gone
	inTime := min(a.ended, gone).Sub(a.sent) < a.timeLeft
	return cut && inTime && !d.open(a.sent)
}

// endlessMost is how many streams that never end there are at one time: half of the clients always press on.
const endlessMost = pressingClients / 2

// streamRandomly answers each request by a stream: mostly of one event, now and then by one that never ends.
func streamRandomly(w *scriptedWorker, seed uint64) {
	var n atomic.Uint64
	endless := make(chan struct{}, endlessMost)
	for c := range w.conns {
		go func() {
			rng := rand.New(rand.NewPCG(seed, n.Add(1)))
			for q := c.request(); q != nil; q = c.request() {
				c.say("HTTP/1.1 200 OK\nAttempt-Id: %s\nWorker-Seal: s\nTransfer-Encoding: chunked\n\n", q.id)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(oneEvent), oneEvent)
				if rng.IntN(12) == 0 && begins(endless) {
					c.closedByRouter()
					<-endless
					return
				}
				c.say("0\n\n")
			}
		}()
	}
}

// begins takes a place for one more endless stream, if there is one.
func begins(endless chan struct{}) bool {
	select {
	case endless <- struct{}{}:
		return true
	default:
		return false
	}
}

// pressingClients is how many clients ask at the same time.
const pressingClients = 12

// askUntilClosed sends requests one after the other, on a connection that is kept as long as it may be, until nobody
// listens any more.
func askUntilClosed(v *Router, rng *rand.Rand, client int, note func(asked)) {
	routes := []string{"pure", "effectful", "resumable", "streaming"}
	var c *workerConn
	for n := 0; ; n++ {
		if c == nil {
			nc, err := net.Dial("tcp", v.Settings.HTTPAddr)
			if err != nil {
				return
			}
			_ = nc.SetDeadline(time.Now().Add(30 * time.Second))
			c = &workerConn{nc, bufio.NewReader(nc)}
		}
		a := asked{route: routes[rng.IntN(len(routes))], timeLeft: time.Duration(50+rng.IntN(4000)) * time.Millisecond, sent: v.Tasks.Now()}
		text := requestText(a.route, fmt.Sprintf("c%d-%d", client, n), "")
		_, _ = c.Write([]byte(strings.Replace(text, "Time-Left-Ms: 15000", fmt.Sprint("Time-Left-Ms: ", a.timeLeft.Milliseconds()), 1)))
		_, a.clientAnswer = c.receiveHead()
		a.ended = v.Tasks.Now()
		note(a)
		if a.status == 0 || !a.whole || a.close {
			c.Close()
			c = nil
		}
	}
}

// Clients press on a router from its warning to its end, with streams that may never end: whatever was begun behind the open
// span ends whole or by its own time, and the rest is refused as not run.
func TestRandomRequestsToALeavingRouter(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newScriptedWorker(t, "w1")
			v := relayRig(t, w)
			go streamRandomly(w, seed)
			var mu sync.Mutex
			var all []asked
			note := func(a asked) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			}
			var clients sync.WaitGroup
			for client := range pressingClients {
				clients.Go(func() { askUntilClosed(v, rand.New(rand.NewPCG(seed, uint64(client))), client, note) })
			}
			d := newDeparture(v.Tasks.Now(), 1800*time.Millisecond)
			v.departure.Store(d) // without the flags of Drain: it is alone, so nobody else could keep its workers
			v.awaitQuiet(d)
			v.Close()
			gone := v.Tasks.Now()
			clients.Wait()
			late, refused := 0, 0
			for _, a := range all {
				if a.lost(d, gone) {
					t.Errorf("%s, sent %v after the warning with %v left, was cut %v later", a.route, a.sent.Sub(d.warned), a.timeLeft, a.ended.Sub(a.sent))
				}
				if !d.open(a.sent) && a.status == 200 && a.whole {
					late++
				}
				if a.status == 503 {
					refused++
				}
			}
			if late == 0 || refused == 0 {
				t.Errorf("of %d requests %d were served late and %d refused: it shows nothing", len(all), late, refused)
			}
			t.Logf("%d requests, %d of them served late, %d refused", len(all), late, refused)
		})
	}
}
