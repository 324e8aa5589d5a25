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

// Whatever a draining node starts ends before the grace period does, for every grace period and every moment: judged by
// how long such requests usually last within the open window, and by their deadline after it.
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
			observed := requestDurations{longest: time.Duration(rng.Int64N(int64(grace) / durationMargin)),
				observedFor: time.Duration(rng.Int64N(int64(3 * grace)))}
			admitted := drain.admits(now, deadline, observed)
			switch {
			case now.Sub(startedAt) < min(openWindow, grace/openWindowDivisor):
				expectedEnd := deadline
				if observed.observedFor >= observationFactor*drain.deadline.Sub(now) {
					expectedEnd = min(deadline, now.Add(durationMargin*observed.longest))
				}
				if admitted != (expectedEnd <= drain.deadline.Add(-finalAnswerMargin)) {
					t.Fatalf("seed %d: %v after SIGTERM: admitted is %v, though the request ends %v before the deadline", seed,
						now.Sub(startedAt), admitted, drain.deadline.Sub(expectedEnd))
				}
				if admitted && deadline > drain.deadline.Add(-finalAnswerMargin) {
					admittedByHistory++
				}
			case admitted && deadline > drain.deadline.Add(-finalAnswerMargin):
				t.Fatalf("seed %d: admitted %v after SIGTERM, ends %v before the deadline", seed, now.Sub(startedAt), drain.deadline.Sub(deadline))
			case !admitted:
				refused++
			}
		}
		if admittedByHistory == 0 || refused == 0 {
			t.Errorf("seed %d: %d admitted while open, %d refused, so the test proves nothing", seed, admittedByHistory, refused)
		}
	}
}

// setDraining puts a router in a drain that started some time ago and has some time left.
func setDraining(v *Router, elapsed, remaining time.Duration) *drainWindow {
	now := v.Tasks.Now()
	d := &drainWindow{startedAt: now.Add(-elapsed), deadline: now.Add(remaining)}
	v.drainWindow.Store(d)
	return d
}

// oneEvent is a stream of one event.
const oneEvent = "id: 1\ndata: x\n\n"

// serveShortStreams answers every request on a worker's connections with a short stream.
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

// caseDrainJustStarted is the case of a draining node that has observed short requests of the same mapping.
const caseDrainJustStarted = "drain just started, long deadline, such requests end within a second"

// A request that can't finish within the grace period is refused at once, as not run and with Retry-After, on a new
// connection and on a kept one. No worker receives it. A request that can finish is served.
func TestDrainingRouterRefusesWhatCannotFinish(t *testing.T) {
	for _, x := range []struct {
		name               string
		elapsed, remaining time.Duration
		timeLeft           string
		status             int
	}{
		{caseDrainJustStarted, time.Second, 7 * time.Second, "15000", 200},
		{"drain just started, long deadline, durations unknown", time.Second, 7 * time.Second, "15000", 503},
		{"clients may have probed readiness twice, long deadline", 1900 * time.Millisecond, 5400 * time.Millisecond, "15000", 503},
		{"open window over, long deadline", 4 * time.Second, 4 * time.Second, "15000", 503},
		{"open window over, ends in time", 4 * time.Second, 4 * time.Second, "3000", 200},
		{"open window over, ends at the last moment", 4 * time.Second, 4 * time.Second, "3900", 503},
		{"near the deadline", 7800 * time.Millisecond, 200 * time.Millisecond, "1000", 503},
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
					t.Fatalf("before the drain: %+v", got)
				}
				if x.name == caseDrainJustStarted {
					recordDurations(t, v, route, minDurationSamples, time.Second, time.Minute)
				}
				setDraining(v, x.elapsed, x.remaining)
				for name, c := range map[string]*testConn{"kept": kept, "new": dialRelayClient(t, v)} {
					text := strings.Replace(requestText(route, name, ""), "Time-Left-Ms: 15000", "Time-Left-Ms: "+x.timeLeft, 1)
					_, _ = c.Write([]byte(text))
					head, got := c.receiveWithHeader()
					if got.status != x.status || !got.complete || !got.close {
						t.Errorf("%s connection: %+v, want %d and a closed connection", name, got, x.status)
					}
					if retryAfter := head.Get("Retry-After"); (retryAfter != "") != (x.status == 503) {
						t.Errorf("%s connection: %d with Retry-After %q", name, got.status, retryAfter)
					}
				}
			})
		}
	}
}

// mappingOf returns a mapping of the active configuration.
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

// Guards against aborting a stream that was sent to a draining router before its client could know of the drain. Unless such
// requests are known to finish in the remaining time, it is refused at once, so that the client retries on another router.
func TestDrainingRouterRefusesWhatMayOutlastIt(t *testing.T) {
	const remaining = 7 * time.Second
	for _, x := range []struct {
		name        string
		samples     int
		longest     time.Duration
		observedFor time.Duration
		status      int
	}{
		{"too few samples", minDurationSamples - 1, time.Second, time.Hour, 503},
		{"not observed for long enough", minDurationSamples, time.Second, observationFactor*remaining - time.Second, 503},
		{"some last longer than the remaining time", minDurationSamples, remaining, time.Hour, 503},
		{"one may last longer than those observed", minDurationSamples, remaining - time.Second, time.Hour, 503},
		{"all end in time", minDurationSamples, remaining/durationMargin - time.Second, time.Hour, 200},
	} {
		for _, route := range []string{"pure", "effectful", "resumable", "streaming"} {
			t.Run(x.name+"/"+route, func(t *testing.T) {
				t.Parallel()
				w := newScriptedWorker(t, "w1")
				v := newRelayRouter(t, w)
				go serveShortStreams(w)
				recordDurations(t, v, route, x.samples, x.longest, x.observedFor)
				setDraining(v, time.Second, remaining)
				c := dialRelayClient(t, v)
				c.send(route, "early", "")
				head, got := c.receiveWithHeader()
				if got.status != x.status || !got.complete || !got.close {
					t.Errorf("%+v, want %d and a closed connection", got, x.status)
				}
				if retryAfter := head.Get("Retry-After"); (retryAfter != "") != (x.status == 503) {
					t.Errorf("%d with Retry-After %q", got.status, retryAfter)
				}
			})
		}
	}
}

// recordDurations records complete requests of a mapping at a router, as if they had been observed for observedFor
// and the slowest had lasted longest.
func recordDurations(t *testing.T, v *Router, mapping string, samples int, longest, observedFor time.Duration) {
	t.Helper()
	startedAt := v.Tasks.Now().Add(-observedFor)
	v.mappingStats.update(mappingOf(t, v, mapping), func(stats *mappingStats) {
		stats.requests, stats.firstRequestAt = 1, startedAt
		stats.durations.Add(longest)
		for range samples - 1 {
			stats.durations.Add(min(longest, time.Second))
		}
	})
}

// The duration of a request is measured from when it was read to the end of its complete answer.
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
	testutil.WaitUntil(t, "all durations are recorded", func() bool {
		observed := v.mappingStats.durations(v.Tasks.Now(), mapping)
		return observed.longest > 0 && observed.observedFor > observed.longest
	})
}

// A node that is closing accepts no further request, however short.
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
		t.Error("a worker received a request")
	}
}

// A draining node does not serve requests with an unconfirmed configuration either.
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
