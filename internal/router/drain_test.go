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
func TestDrainWindowAdmitsOnlyWhatCanFinish(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 20))
		startedAt := units.Time(rng.Int64N(int64(time.Hour)))
		grace := time.Duration(rng.Int64N(int64(30*time.Second))) + time.Second
		drain := newDrainWindow(startedAt, grace)
		admittedByHistory, refused := 0, 0
		for range 2000 {
			now := startedAt.Add(time.Duration(rng.Int64N(int64(grace))))
			deadline := now.Add(time.Duration(rng.Int64N(int64(2 * grace))))
			observed := requestDurations{longest: time.Duration(rng.Int64N(int64(grace) / durationMargin)), observedFor: time.Duration(rng.Int64N(int64(3 * grace)))}
			admitted := drain.admits(now, deadline, observed)
			switch {
			case now.Sub(startedAt) < min(openWindow, grace/openWindowDivisor):
				expectedEnd := deadline
				if observed.observedFor >= observationFactor*drain.deadline.Sub(now) {
					expectedEnd = min(deadline, now.Add(durationMargin*observed.longest))
				}
				if admitted != (expectedEnd <= drain.deadline.Add(-finalAnswerMargin)) {
					t.Fatalf("seed %d: taken %v after the warning: %v, though it ends %v before the end", seed, now.Sub(startedAt), admitted, drain.deadline.Sub(expectedEnd))
				}
				if admitted && deadline > drain.deadline.Add(-finalAnswerMargin) {
					admittedByHistory++
				}
			case admitted && deadline > drain.deadline.Add(-finalAnswerMargin):
				t.Fatalf("seed %d: taken %v after the warning, over %v before the end", seed, now.Sub(startedAt), drain.deadline.Sub(deadline))
			case !admitted:
				refused++
			}
		}
		if admittedByHistory == 0 || refused == 0 {
			t.Errorf("seed %d: %d taken while open, %d refused: it shows nothing", seed, admittedByHistory, refused)
		}
	}
}

// setDraining is a router that was warned some time ago and has some time left.
func setDraining(v *Router, elapsed, remaining time.Duration) *drainWindow {
	now := v.Tasks.Now()
	d := &drainWindow{startedAt: now.Add(-elapsed), deadline: now.Add(remaining)}
	v.drainWindow.Store(d)
	return d
}

// oneEvent is a stream of one event.
const oneEvent = "id: 1\ndata: x\n\n"

// serveShortStreams answers every request of a worker's connections with a short stream.
func serveShortStreams(w *scriptedWorker) {
	for c := range w.conns {
		go func() {
			for q := c.request(); q != nil; q = c.request() {
				c.writeText("HTTP/1.1 200 OK\nAttempt-Id: %s\nWorker-Seal: s\nContent-Length: %d\n\n", q.id, len(oneEvent))
				_, _ = io.WriteString(c, oneEvent)
			}
		}()
	}
}

// caseJustWarned is the case of a leaving node that has seen requests of the kind end soon.
const caseJustWarned = "just warned, long, and such ones end within a second"

// What comes to a leaving node when it can't end within the grace is refused at once, as not run and with when to come
// back, on a new connection and on one that was kept; no worker hears of it. What can end is served.
func TestDrainingRouterRefusesWhatCannotFinish(t *testing.T) {
	for _, x := range []struct {
		name      string
		ago, left time.Duration
		timeLeft  string
		status    int
	}{
		{caseJustWarned, time.Second, 7 * time.Second, "15000", 200},
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
				v := newRelayRouter(t, w)
				go serveShortStreams(w)
				kept := dialRelayClient(t, v)
				kept.send(route, "before", "")
				if got := kept.receive(); got.status != 200 || !got.complete || got.close {
					t.Fatalf("before the warning: %+v", got)
				}
				if x.name == caseJustWarned {
					recordDurations(t, v, route, minDurationSamples, time.Second, time.Minute)
				}
				setDraining(v, x.ago, x.left)
				for name, c := range map[string]*workerConn{"kept": kept, "new": dialRelayClient(t, v)} {
					text := strings.Replace(requestText(route, name, ""), "Time-Left-Ms: 15000", "Time-Left-Ms: "+x.timeLeft, 1)
					_, _ = c.Write([]byte(text))
					head, got := c.receiveWithHeader()
					if got.status != x.status || !got.complete || !got.close {
						t.Errorf("%s connection: %+v, wanted %d and its end", name, got, x.status)
					}
					if retryAfter := head.Get("Retry-After"); (retryAfter != "") != (x.status == 503) {
						t.Errorf("%s connection: %d with Retry-After %q", name, got.status, retryAfter)
					}
				}
			})
		}
	}
}

// mappingOf finds a mapping of the rules in force.
func mappingOf(t *testing.T, v *Router, name string) *config.Mapping {
	t.Helper()
	for _, m := range v.activeConfig.Load().Mappings {
		if m.Name == name {
			return m
		}
	}
	t.Fatalf("no mapping %s", name)
	return nil
}

// LOST: a stream was sent to a leaving router so soon that its client couldn't know, and was cut at the end of the grace. Where it isn't
// known that such requests are over in the time that is left, it is refused at once and goes to another router.
func TestDrainingRouterRefusesWhatMayOutlastIt(t *testing.T) {
	const remaining = 7 * time.Second
	for _, x := range []struct {
		name     string
		measured int
		longest  time.Duration
		watched  time.Duration
		status   int
	}{
		{"too few measured", minDurationSamples - 1, time.Second, time.Hour, 503},
		{"not watched for long enough", minDurationSamples, time.Second, observationFactor*remaining - time.Second, 503},
		{"some last for longer than is left", minDurationSamples, remaining, time.Hour, 503},
		{"one may last for longer than those seen", minDurationSamples, remaining - time.Second, time.Hour, 503},
		{"all end in time", minDurationSamples, remaining/durationMargin - time.Second, time.Hour, 200},
	} {
		for _, route := range []string{"pure", "effectful", "resumable", "streaming"} {
			t.Run(x.name+"/"+route, func(t *testing.T) {
				t.Parallel()
				w := newScriptedWorker(t, "w1")
				v := newRelayRouter(t, w)
				go serveShortStreams(w)
				recordDurations(t, v, route, x.measured, x.longest, x.watched)
				setDraining(v, time.Second, remaining)
				c := dialRelayClient(t, v)
				c.send(route, "early", "")
				head, got := c.receiveWithHeader()
				if got.status != x.status || !got.complete || !got.close {
					t.Errorf("%+v, wanted %d and its end", got, x.status)
				}
				if retryAfter := head.Get("Retry-After"); (retryAfter != "") != (x.status == 503) {
					t.Errorf("%d with Retry-After %q", got.status, retryAfter)
				}
			})
		}
	}
}

// recordDurations has a router have seen whole requests of a mapping, the longest of which lasted for a time, since a while ago.
func recordDurations(t *testing.T, v *Router, mapping string, measured int, longest, since time.Duration) {
	t.Helper()
	startedAt := v.Tasks.Now().Add(-since)
	v.mappingStats.update(mappingOf(t, v, mapping), func(t *mappingStats) {
		t.requests, t.firstRequestAt = 1, startedAt
		t.durations.Add(longest)
		for range measured - 1 {
			t.durations.Add(min(longest, time.Second))
		}
	})
}

// How long a request lasted is counted from its reading to the end of its whole answer.
func TestRequestDurationIsMeasured(t *testing.T) {
	w := newScriptedWorker(t, "w1")
	v := newRelayRouter(t, w)
	go serveShortStreams(w)
	mapping := mappingOf(t, v, "streaming")
	for i := range minDurationSamples {
		if observed := v.mappingStats.durations(v.Tasks.Now(), mapping); observed != (requestDurations{}) {
			t.Fatalf("%v after %d requests", observed, i)
		}
		c := dialRelayClient(t, v)
		c.send("streaming", fmt.Sprint("s", i), "")
		if got := c.receive(); got.status != 200 || !got.complete {
			t.Fatalf("%+v", got)
		}
	}
	testutil.Until(t, "all are measured", func() bool {
		observed := v.mappingStats.durations(v.Tasks.Now(), mapping)
		return observed.longest > 0 && observed.observedFor > observed.longest
	})
}

// A node that has decided to end takes nothing more, however short.
func TestClosingRouterRefusesAll(t *testing.T) {
	w := newScriptedWorker(t, "w1")
	v := newRelayRouter(t, w)
	setDraining(v, 4*time.Second, time.Minute)
	v.closing.Store(true)
	c := dialRelayClient(t, v)
	c.send("pure", "late", "")
	if got := c.receive(); got.status != 503 || !got.complete || !got.close {
		t.Errorf("answered %+v", got)
	}
	if !noMoreConns(w) {
		t.Error("a worker was handed something")
	}
}

// A node that hasn't confirmed its news serves nothing because it leaves.
func TestDrainingRouterNeedsConfirmedConfig(t *testing.T) {
	w := newScriptedWorker(t, "w1")
	v := newRelayRouter(t, w)
	v.markNotReady()
	setDraining(v, time.Second, time.Minute)
	c := dialRelayClient(t, v)
	c.send("pure", "early", "")
	if got := c.receive(); got.status != 503 {
		t.Errorf("answered %+v", got)
	}
}
