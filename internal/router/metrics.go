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

// stats counts results and dispatches.
type stats struct {
	mu             sync.Mutex
	resultCounts   map[resultcode.Code]uint64
	dispatches     map[string]uint64  // dispatches by the worker's zone
	crossZoneBytes uint64             // bytes of prompts dispatched to another zone
	disconnects    [stageCount]uint64 // requests whose client disconnected, by stage
}

// stage is the phase of handling that a request is in.
type stage uint8

const (
	stageClaim     stage = iota // claiming its idempotency key
	stageAdmission              // waiting for a worker's permit
	stageAnswer                 // dispatched to a worker, no answer yet
	stageStream                 // streaming its answer
	stageCount
)

func (s stage) String() string {
	return [stageCount]string{"claim", "admission", "answer", "stream"}[s]
}

// recordDisconnect counts and logs a request whose client disconnected at a stage, with the time since the request arrived.
func (v *Router) recordDisconnect(at stage, elapsed time.Duration) {
	v.stats.countResult(resultcode.ClientDisconnected)
	v.stats.mu.Lock()
	v.stats.disconnects[at]++
	v.stats.mu.Unlock()
	v.Log.WithField("stage", at.String()).WithField("after", elapsed).Info("client disconnected")
}

func (s *stats) countResult(c resultcode.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resultCounts == nil {
		s.resultCounts = map[resultcode.Code]uint64{}
	}
	s.resultCounts[c]++
}

func (s *stats) countDispatch(zone, own string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatches == nil {
		s.dispatches = map[string]uint64{}
	}
	s.dispatches[zone]++
	if zone != own {
		s.crossZoneBytes += uint64(bytes)
	}
}

// metrics serves the metrics as Prometheus text.
func (v *Router) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	s := &v.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Sorted(maps.Keys(s.resultCounts)) {
		fmt.Fprintf(ctx, "seamshunt_results_total{code=\"%d\"} %d\n", c, s.resultCounts[c])
	}
	for at := range stageCount {
		fmt.Fprintf(ctx, "seamshunt_client_left_total{stage=%q} %d\n", at, s.disconnects[at])
	}
	v.mappingStats.writeMetrics(ctx)
	v.WriteZoneMetrics(ctx)
	v.upstreamMetrics(ctx)
	fmt.Fprintf(ctx, "seamshunt_cross_zone_prompt_bytes_total %d\n", s.crossZoneBytes)
	fmt.Fprintf(ctx, "seamshunt_wire_bytes_total %d\n", v.Transport.BytesOut.Load())
	fmt.Fprintf(ctx, "seamshunt_in_flight %d\n", v.inFlight.Load())
	fmt.Fprintf(ctx, "seamshunt_bad_frames_total %d\nseamshunt_bad_notes_total %d\n", v.Transport.BadFrames.Load(), v.Errors.Load())
	fmt.Fprintf(ctx, "seamshunt_dropped_notes_total %d\n", v.DroppedMessages.Load())
	age := 0.0
	if t := v.noControllerSince.Load(); t > 0 {
		age = v.Tasks.Now().Sub(v.startedAt).Seconds() - (time.Duration(t) - time.Duration(v.startedAt)).Seconds()
	}
	fmt.Fprintf(ctx, "seamshunt_cut_from_control_seconds %g\n", age)
}

// upstreamMetrics writes the outcomes of dials to workers and the number of abandoned requests.
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
