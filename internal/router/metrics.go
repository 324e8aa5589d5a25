package router

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/resultcode"
)

// stats counts results and hand-overs.
type stats struct {
	mu    sync.Mutex
	codes map[resultcode.Code]uint64
	hands map[string]uint64 // hand-overs by the worker's zone
	cross uint64            // bytes of prompts handed over to another zone
	left  [stages]uint64    // requests whose client left, by where they stood
}

// stage is where a request stands at a router.
type stage uint8

const (
	stageClaim     stage = iota // its key is claimed
	stageAdmission              // it waits for a worker
	stageAnswer                 // a worker has it, and no answer has begun
	stageStream                 // its answer goes on
	stages
)

func (s stage) String() string { return [stages]string{"claim", "admission", "answer", "stream"}[s] }

// clientLeft counts and logs a request whose client left while it stood at a stage, and how long it had stood there.
func (v *Router) clientLeft(at stage, after time.Duration) {
	v.stats.count(resultcode.ClientDisconnected)
	v.stats.mu.Lock()
	v.stats.left[at]++
	v.stats.mu.Unlock()
	v.Log.WithField("stage", at.String()).WithField("after", after).Info("a client left")
}

func (s *stats) count(c resultcode.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.codes == nil {
		s.codes = map[resultcode.Code]uint64{}
	}
	s.codes[c]++
}

func (s *stats) hand(zone, own string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hands == nil {
		s.hands = map[string]uint64{}
	}
	s.hands[zone]++
	if zone != own {
		s.cross += uint64(n)
	}
}

// metrics writes Prometheus text.
func (v *Router) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	s := &v.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Sorted(maps.Keys(s.codes)) {
		fmt.Fprintf(ctx, "seamshunt_results_total{code=\"%d\"} %d\n", c, s.codes[c])
	}
	for at := range stages {
		fmt.Fprintf(ctx, "seamshunt_client_left_total{stage=%q} %d\n", at, s.left[at])
	}
	v.tallies.metrics(ctx)
	v.WriteZoneMetrics(ctx)
	v.upstreamMetrics(ctx)
	fmt.Fprintf(ctx, "seamshunt_cross_zone_prompt_bytes_total %d\n", s.cross)
	fmt.Fprintf(ctx, "seamshunt_wire_bytes_total %d\n", v.Transport.BytesOut.Load())
	fmt.Fprintf(ctx, "seamshunt_in_flight %d\n", v.inFlight.Load())
	fmt.Fprintf(ctx, "seamshunt_bad_frames_total %d\nseamshunt_bad_notes_total %d\n", v.Transport.BadFrames.Load(), v.Errors.Load())
	fmt.Fprintf(ctx, "seamshunt_dropped_notes_total %d\n", v.DroppedMessages.Load())
	age := 0.0
	if t := v.static.Load(); t > 0 {
		age = v.Tasks.Now().Sub(v.began).Seconds() - (time.Duration(t) - time.Duration(v.began)).Seconds()
	}
	fmt.Fprintf(ctx, "seamshunt_cut_from_control_seconds %g\n", age)
}

// upstreamMetrics writes what became of connections to workers.
func (v *Router) upstreamMetrics(w io.Writer) {
	if v.pool == nil {
		return
	}
	s := &v.pool.Stats
	for _, c := range []struct {
		outcome string
		n       *atomic.Uint64
	}{{"connected", &s.Connected}, {"refused", &s.Refused}, {"timed_out", &s.TimedOut}, {"cancelled", &s.Cancelled}} {
		fmt.Fprintf(w, "seamshunt_upstream_dials_total{outcome=%q} %d\n", c.outcome, c.n.Load())
	}
	fmt.Fprintf(w, "seamshunt_upstream_abandoned_requests_total %d\n", s.Abandoned.Load())
}
