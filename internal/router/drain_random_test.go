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

// drainRequest is one request of a client to a router that leaves, and how it ended.
type drainRequest struct {
	route    string
	sentAt   units.Time
	timeLeft time.Duration
	endedAt  units.Time
	clientResponse
}

// wronglyAborted says whether a request was begun and cut though its time was not over. What is under way when the router has gone
// is cut then, as its process ends. One that was sent while the router still took everything may be cut so.
func (a drainRequest) wronglyAborted(drain *drainWindow, closedAt units.Time) bool {
	aborted := a.status != 0 && !a.complete || a.endedAt > closedAt
	inTime := min(a.endedAt, closedAt).Sub(a.sentAt) < a.timeLeft
	return aborted && inTime && !drain.isOpen(a.sentAt)
}

// maxEndlessStreams is how many streams that never end there are at one time: half of the clients always press on.
const maxEndlessStreams = concurrentClients / 2

// serveRandomStreams answers each request by a stream: mostly of one event, now and then by one that never ends.
func serveRandomStreams(w *scriptedWorker, seed uint64) {
	var n atomic.Uint64
	endless := make(chan struct{}, maxEndlessStreams)
	for c := range w.conns {
		go func() {
			rng := rand.New(rand.NewPCG(seed, n.Add(1)))
			for q := c.request(); q != nil; q = c.request() {
				c.writeText("HTTP/1.1 200 OK\nAttempt-Id: %s\nWorker-Seal: s\nTransfer-Encoding: chunked\n\n", q.id)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(oneEvent), oneEvent)
				if rng.IntN(12) == 0 && tryAcquire(endless) {
					c.closedByRouter()
					<-endless
					return
				}
				c.writeText("0\n\n")
			}
		}()
	}
}

// tryAcquire takes a place for one more endless stream, if there is one.
func tryAcquire(endless chan struct{}) bool {
	select {
	case endless <- struct{}{}:
		return true
	default:
		return false
	}
}

// concurrentClients is how many clients ask at the same time.
const concurrentClients = 12

// sendUntilClosed sends requests one after the other, on a connection that is kept as long as it may be, until nobody
// listens any more.
func sendUntilClosed(v *Router, rng *rand.Rand, client int, record func(drainRequest)) {
	routes := []string{"pure", "effectful", "resumable", "streaming"}
	var c *workerConn
	for n := 0; ; n++ {
		if c == nil {
			nc, err := net.Dial("tcp", v.Boot.Web)
			if err != nil {
				return
			}
			_ = nc.SetDeadline(time.Now().Add(30 * time.Second))
			c = &workerConn{nc, bufio.NewReader(nc)}
		}
		a := drainRequest{route: routes[rng.IntN(len(routes))], timeLeft: time.Duration(50+rng.IntN(4000)) * time.Millisecond, sentAt: v.Tasks.Now()}
		text := requestText(a.route, fmt.Sprintf("c%d-%d", client, n), "")
		_, _ = c.Write([]byte(strings.Replace(text, "Time-Left-Ms: 15000", fmt.Sprint("Time-Left-Ms: ", a.timeLeft.Milliseconds()), 1)))
		_, a.clientResponse = c.receiveWithHeader()
		a.endedAt = v.Tasks.Now()
		record(a)
		if a.status == 0 || !a.complete || a.close {
			c.Close()
			c = nil
		}
	}
}

// Clients press on a router from its warning to its end, with streams that may never end: whatever was begun behind the open
// span ends whole or by its own time, and the rest is refused as not run.
func TestRandomRequestsToDrainingRouter(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newScriptedWorker(t, "w1")
			v := newRelayRouter(t, w)
			go serveRandomStreams(w, seed)
			var mu sync.Mutex
			var requests []drainRequest
			record := func(a drainRequest) {
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, a)
			}
			var clients sync.WaitGroup
			for client := range concurrentClients {
				clients.Go(func() { sendUntilClosed(v, rand.New(rand.NewPCG(seed, uint64(client))), client, record) })
			}
			drain := newDrainWindow(v.Tasks.Now(), 1800*time.Millisecond)
			v.drainWindow.Store(drain) // without the flags of Drain: it is alone, so nobody else could keep its workers
			v.awaitIdle(drain)
			v.Close()
			closedAt := v.Tasks.Now()
			clients.Wait()
			servedLate, refused := 0, 0
			for _, a := range requests {
				if a.wronglyAborted(drain, closedAt) {
					t.Errorf("%s, sent %v after the warning with %v left, was cut %v later", a.route, a.sentAt.Sub(drain.startedAt), a.timeLeft, a.endedAt.Sub(a.sentAt))
				}
				if !drain.isOpen(a.sentAt) && a.status == 200 && a.complete {
					servedLate++
				}
				if a.status == 503 {
					refused++
				}
			}
			if servedLate == 0 || refused == 0 {
				t.Errorf("of %d requests %d were served late and %d refused: it shows nothing", len(requests), servedLate, refused)
			}
			t.Logf("%d requests, %d of them served late, %d refused", len(requests), servedLate, refused)
		})
	}
}
