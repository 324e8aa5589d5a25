package router

import (
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/units"
)

// Whatever a leaving node begins behind its open span is over before its end, for every grace and every moment.
func TestDepartureBeginsNothingItCannotEnd(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 20))
		warned := units.Time(rng.Int64N(int64(time.Hour)))
		grace := time.Duration(rng.Int64N(int64(30*time.Second))) + time.Second
		d := newDeparture(warned, grace)
		opened, refused := 0, 0
		for range 500 {
			now := warned.Add(time.Duration(rng.Int64N(int64(grace))))
			until := now.Add(time.Duration(rng.Int64N(int64(2 * grace))))
			taken := d.takes(now, until)
			switch {
			case now.Sub(warned) < min(openFor, grace/openShare):
				if opened++; !taken {
					t.Fatalf("seed %d: %v after the warning nobody knows yet, and a request is refused", seed, now.Sub(warned))
				}
			case taken && until > d.end.Add(-endGap):
				t.Fatalf("seed %d: taken %v after the warning, over %v before the end", seed, now.Sub(warned), d.end.Sub(until))
			case !taken:
				refused++
			}
		}
		if opened == 0 || refused == 0 {
			t.Errorf("seed %d: %d taken while open, %d refused: it shows nothing", seed, opened, refused)
		}
	}
}

// departing is a router that was warned some time ago and has some time left.
func departing(v *Router, ago, left time.Duration) *departure {
	now := v.Tasks.Now()
	d := &departure{warned: now.Add(-ago), end: now.Add(left)}
	v.departure.Store(d)
	return d
}

// oneEvent is a stream of one event.
const oneEvent = "id: 1\ndata: x\n\n"

// answerShort answers every request of a worker's connections with a short stream.
func answerShort(w *scriptedWorker) {
	for c := range w.conns {
		go func() {
			for q := c.request(); q != nil; q = c.request() {
				c.say("HTTP/1.1 200 OK\nAttempt-Id: %s\nWorker-Seal: s\nContent-Length: %d\n\n", q.id, len(oneEvent))
				_, _ = io.WriteString(c, oneEvent)
			}
		}()
	}
}

// What comes to a leaving node when it can't end within the grace is refused at once, as not run and with when to come
// back, on a new connection and on one that was kept; no worker hears of it. What can end is served.
func TestLeavingRouterRefusesWhatCannotEnd(t *testing.T) {
	for _, x := range []struct {
		name      string
		ago, left time.Duration
		timeLeft  string
		status    int
	}{
		{"just warned, long", time.Second, 7 * time.Second, "15000", 200},
		{"clients may have been told twice, long", 1900 * time.Millisecond, 5400 * time.Millisecond, "15000", 503},
		{"open span over, long", 4 * time.Second, 4 * time.Second, "15000", 503},
		{"open span over, ends in time", 4 * time.Second, 4 * time.Second, "3000", 200},
		{"open span over, ends in the last moment", 4 * time.Second, 4 * time.Second, "3900", 503},
		{"near the end", 7800 * time.Millisecond, 200 * time.Millisecond, "1000", 503},
	} {
		for _, route := range []string{"pure", "effectful", "resumable", "streaming"} {
			t.Run(x.name+"/"+route, func(t *testing.T) {
				t.Parallel()
				w := newScriptedWorker(t, "w1")
				v := relayRig(t, w)
				go answerShort(w)
				kept := clientConn(t, v)
				kept.send(route, "before", "")
				if got := kept.receive(); got.status != 200 || !got.whole || got.close {
					t.Fatalf("before the warning: %+v", got)
				}
				departing(v, x.ago, x.left)
				for name, c := range map[string]*workerConn{"kept": kept, "new": clientConn(t, v)} {
					text := strings.Replace(requestText(route, name, ""), "Time-Left-Ms: 15000", "Time-Left-Ms: "+x.timeLeft, 1)
					_, _ = c.Write([]byte(text))
					head, got := c.receiveHead()
					if got.status != x.status || !got.whole || !got.close {
						t.Errorf("%s connection: %+v, wanted %d and its end", name, got, x.status)
					}
					if told := head.Get("Retry-After"); (told != "") != (x.status == 503) {
						t.Errorf("%s connection: %d with Retry-After %q", name, got.status, told)
					}
				}
			})
		}
	}
}

// A node that has decided to end takes nothing more, however short.
func TestClosingRouterTakesNothing(t *testing.T) {
	w := newScriptedWorker(t, "w1")
	v := relayRig(t, w)
	departing(v, 4*time.Second, time.Minute)
	v.closing.Store(true)
	c := clientConn(t, v)
	c.send("pure", "late", "")
	if got := c.receive(); got.status != 503 || !got.whole || !got.close {
		t.Errorf("answered %+v", got)
	}
	if !none(w) {
		t.Error("a worker was handed something")
	}
}

// A node that hasn't confirmed its news serves nothing because it leaves.
func TestLeavingRouterServesNoUnconfirmedRules(t *testing.T) {
	w := newScriptedWorker(t, "w1")
	v := relayRig(t, w)
	v.unready()
	departing(v, time.Second, time.Minute)
	c := clientConn(t, v)
	c.send("pure", "early", "")
	if got := c.receive(); got.status != 503 {
		t.Errorf("answered %+v", got)
	}
}
