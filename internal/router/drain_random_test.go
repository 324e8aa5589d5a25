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

// drainRequest is a client's request to a draining router and its outcome.
type drainRequest struct {
	route    string
	sentAt   units.Time
	timeLeft time.Duration
	endedAt  units.Time
	clientResponse
}

// wronglyAborted reports whether a request was started and aborted before its own deadline. Requests in flight at closedAt
// are aborted then, as the process ends. Requests sent while the drain window was open may be aborted.
func (a drainRequest) wronglyAborted(drain *drainWindow, closedAt units.Time) bool {
	aborted := a.status != 0 && !a.complete || a.endedAt > closedAt
	inTime := min(a.endedAt, closedAt).Sub(a.sentAt) < a.timeLeft
	return aborted && inTime && !drain.isOpen(a.sentAt)
}

// maxEndlessStreams is the maximum number of simultaneous endless streams, so that half of the clients keep sending.
const maxEndlessStreams = concurrentClients / 2

// serveRandomStreams answers each request with a stream, mostly of one event, sometimes endless.
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
					c.awaitClose()
					<-endless
					return
				}
				c.writeText("0\n\n")
			}
		}()
	}
}

// tryAcquire reserves a place for another endless stream. It reports whether there was one.
func tryAcquire(endless chan struct{}) bool {
	select {
	case endless <- struct{}{}:
		return true
	default:
		return false
	}
}

// concurrentClients is the number of clients that send requests at the same time.
const concurrentClients = 12

// sendUntilClosed sends requests one after another, reusing its connection where possible, until the router stops listening.
func sendUntilClosed(v *Router, rng *rand.Rand, client int, record func(drainRequest)) {
	routes := []string{"pure", "effectful", "resumable", "streaming"}
	var c *testConn
	for n := 0; ; n++ {
		if c == nil {
			nc, err := net.Dial("tcp", v.Settings.HTTPAddr)
			if err != nil {
				return
			}
			_ = nc.SetDeadline(time.Now().Add(30 * time.Second))
			c = &testConn{nc, bufio.NewReader(nc)}
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

// Clients keep sending to a draining router until it ends, with streams that may be endless. Whatever is started after the
// open window finishes completely or at its own deadline, and the rest is refused as not run.
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
			v.drainWindow.Store(drain) // without Drain's membership flags: no other router could coordinate its workers
			v.awaitIdle(drain)
			v.Close()
			closedAt := v.Tasks.Now()
			clients.Wait()
			servedLate, refused := 0, 0
			for _, a := range requests {
				if a.wronglyAborted(drain, closedAt) {
					t.Errorf("%s, sent %v after SIGTERM with %v left, was aborted %v later", a.route, a.sentAt.Sub(drain.startedAt),
						a.timeLeft, a.endedAt.Sub(a.sentAt))
				}
				if !drain.isOpen(a.sentAt) && a.status == 200 && a.complete {
					servedLate++
				}
				if a.status == 503 {
					refused++
				}
			}
			if servedLate == 0 || refused == 0 {
				t.Errorf("of %d requests %d were served after the open window and %d refused, so the test proves nothing", len(requests), servedLate, refused)
			}
			t.Logf("%d requests, %d of them served after the open window, %d refused", len(requests), servedLate, refused)
		})
	}
}
