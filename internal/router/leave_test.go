package router

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/testutil"
	"seamshunt/internal/units"
)

// Whatever a leaving node begins is over before its end, for every grace and every moment: within its open span by how long such
// requests usually last, behind it however long they may last.
func TestDepartureBeginsNothingItCannotEnd(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 20))
		warned := units.Time(rng.Int64N(int64(time.Hour)))
		grace := time.Duration(rng.Int64N(int64(30*time.Second))) + time.Second
		d := newDeparture(warned, grace)
		opened, refused := 0, 0
		for range 2000 {
			now := warned.Add(time.Duration(rng.Int64N(int64(grace))))
			until := now.Add(time.Duration(rng.Int64N(int64(2 * grace))))
			seen := lasted{longest: time.Duration(rng.Int64N(int64(grace) / lastsShare)), watched: time.Duration(rng.Int64N(int64(3 * grace)))}
			taken := d.takes(now, until, seen)
			switch {
			case now.Sub(warned) < min(openFor, grace/openShare):
				ends := until
				if seen.watched >= watchShare*d.end.Sub(now) {
					ends = min(until, now.Add(lastsShare*seen.longest))
				}
				if taken != (ends <= d.end.Add(-endGap)) {
					t.Fatalf("seed %d: taken %v after the warning: %v, though it ends %v before the end", seed, now.Sub(warned), taken, d.end.Sub(ends))
				}
				if taken && until > d.end.Add(-endGap) {
					opened++
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

// justWarned is the case of a leaving node that has seen requests of the kind end soon.
const justWarned = "just warned, long, and such ones end within a second"

// What comes to a leaving node when it can't end within the grace is refused at once, as not run and with when to come
// back, on a new connection and on one that was kept; no worker hears of it. What can end is served.
func TestLeavingRouterRefusesWhatCannotEnd(t *testing.T) {
	for _, x := range []struct {
		name      string
		ago, left time.Duration
		timeLeft  string
		status    int
	}{
		{justWarned, time.Second, 7 * time.Second, "15000", 200},
		{"just warned, long, nobody knows how long", time.Second, 7 * time.Second, "15000", 503},
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
				if x.name == justWarned {
					watch(t, v, route, lastedLeast, time.Second, time.Minute)
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

// mappingOf finds a mapping of the rules in force.
func mappingOf(t *testing.T, v *Router, name string) *config.Mapping {
	t.Helper()
	for _, m := range v.rules.Load().Mappings {
		if m.Name == name {
			return m
		}
	}
	t.Fatalf("no mapping %s", name)
	return nil
}

// LOST: a stream was sent to a leaving router so soon that its client couldn't know, and was cut at the end of the grace. Where it isn't
// known that such requests are over in the time that is left, it is refused at once and goes to another router.
func TestLeavingRouterRefusesWhatMayOutlastIt(t *testing.T) {
	const left = 7 * time.Second
	for _, x := range []struct {
		name     string
		measured int
		longest  time.Duration
		watched  time.Duration
		status   int
	}{
		{"too few measured", lastedLeast - 1, time.Second, time.Hour, 503},
		{"not watched for long enough", lastedLeast, time.Second, watchShare*left - time.Second, 503},
		{"some last for longer than is left", lastedLeast, left, time.Hour, 503},
		{"one may last for longer than those seen", lastedLeast, left - time.Second, time.Hour, 503},
		{"all end in time", lastedLeast, left/lastsShare - time.Second, time.Hour, 200},
	} {
		for _, route := range []string{"pure", "effectful", "resumable", "streaming"} {
			t.Run(x.name+"/"+route, func(t *testing.T) {
				t.Parallel()
				w := newScriptedWorker(t, "w1")
				v := relayRig(t, w)
				go answerShort(w)
				watch(t, v, route, x.measured, x.longest, x.watched)
				departing(v, time.Second, left)
				c := clientConn(t, v)
				c.send(route, "early", "")
				head, got := c.receiveHead()
				if got.status != x.status || !got.whole || !got.close {
					t.Errorf("%+v, wanted %d and its end", got, x.status)
				}
				if told := head.Get("Retry-After"); (told != "") != (x.status == 503) {
					t.Errorf("%d with Retry-After %q", got.status, told)
				}
			})
		}
	}
}

// watch has a router have seen whole requests of a mapping, the longest of which lasted for a time, since a while ago.
func watch(t *testing.T, v *Router, mapping string, measured int, longest, since time.Duration) {
	t.Helper()
	began := v.Tasks.Now().Add(-since)
	v.tallies.count(mappingOf(t, v, mapping), func(t *tally) {
		t.asked, t.firstAsked = 1, began
		t.lasting.Add(longest)
		for range measured - 1 {
			t.lasting.Add(min(longest, time.Second))
		}
	})
}

// How long a request lasted is counted from its reading to the end of its whole answer.
func TestRequestsAreMeasuredWhole(t *testing.T) {
	w := newScriptedWorker(t, "w1")
	v := relayRig(t, w)
	go answerShort(w)
	mapping := mappingOf(t, v, "streaming")
	for i := range lastedLeast {
		if seen := v.tallies.lasted(v.Tasks.Now(), mapping); seen != (lasted{}) {
			t.Fatalf("%v after %d requests", seen, i)
		}
		c := clientConn(t, v)
		c.send("streaming", fmt.Sprint("s", i), "")
		if got := c.receive(); got.status != 200 || !got.whole {
			t.Fatalf("%+v", got)
		}
	}
	testutil.WaitUntil(t, "all are measured", func() bool {
		seen := v.tallies.lasted(v.Tasks.Now(), mapping)
		return seen.longest > 0 && seen.watched > seen.longest
	})
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
