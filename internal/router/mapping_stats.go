package router

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/config"
	"seamshunt/internal/router/upstream"
	"seamshunt/internal/units"
)

// mappingStats counts how well this node meets a mapping's promise (docs/design.md, section 9).
type mappingStats struct {
	promise          string
	service          string
	target           time.Duration
	requests         uint64
	firstTokenOnTime uint64 // first token within the promised time
	firstTokenLate   uint64
	onTime           uint64 // complete answers within the deadline
	refused          uint64
	retries          uint64
	refusalTime      time.Duration // total time from arrival to refusal
	streamTime       time.Duration // total duration of the streams that ended
	streamsEnded     uint64
	firstToken       upstream.FirstTokenTimes
	durations        upstream.FirstTokenTimes // of requests with complete answers, from when they were read to the end of the answer
	firstRequestAt   units.Time
	seconds          [60]struct { // requests in each of the last 60 seconds
		second int64
		count  int
	}
}

type statsByMapping struct {
	mu        sync.Mutex
	byMapping map[string]*mappingStats
}

// update applies change to a mapping's statistics under the lock.
func (t *statsByMapping) update(m *config.Mapping, change func(*mappingStats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.byMapping[m.Name]
	if stats == nil {
		stats = &mappingStats{}
		if t.byMapping == nil {
			t.byMapping = map[string]*mappingStats{}
		}
		t.byMapping[m.Name] = stats
	}
	stats.promise, stats.service, stats.target = m.Promise.Name, m.Services[0], m.Promise.MaxFirstTokenTime
	change(stats)
}

// minDurationSamples is the minimum number of complete answers before a mapping's durations are relied on.
const minDurationSamples = 8

// requestDurations summarizes how long a mapping's requests last, from when they were read to the end of their complete
// answers.
type requestDurations struct {
	longest     time.Duration
	observedFor time.Duration // time since the first request; 0 if there are too few samples
}

// durations returns the durations of a mapping's latest requests.
func (t *statsByMapping) durations(now units.Time, m *config.Mapping) (observed requestDurations) {
	t.update(m, func(stats *mappingStats) {
		if longest, samples := stats.durations.Quantile(1); samples >= minDurationSamples {
			observed = requestDurations{longest: longest, observedFor: now.Sub(stats.firstRequestAt)}
		}
	})
	return observed
}

func (x *mappingStats) countRequest(now units.Time) {
	if x.requests++; x.requests == 1 {
		x.firstRequestAt = now
	}
	at := int64(now) / int64(time.Second)
	s := &x.seconds[at%60]
	if s.second != at {
		s.second, s.count = at, 0
	}
	s.count++
}

// rate returns the requests per second over the last minute, or since the first request if that is less.
func (x *mappingStats) rate(now units.Time) float64 {
	at, count, earliest := int64(now)/int64(time.Second), 0, int64(now)/int64(time.Second)
	for _, s := range x.seconds {
		if s.count > 0 && s.second < at && s.second > at-60 {
			count += s.count
			earliest = min(earliest, s.second)
		}
	}
	return float64(count) / float64(max(1, at-earliest))
}

func (x *mappingStats) recordFirstToken(d time.Duration) {
	x.firstToken.Add(d)
	if d <= x.target {
		x.firstTokenOnTime++
	} else {
		x.firstTokenLate++
	}
}

// statusValue returns the statistics as JSON for /status.
func (t *statsByMapping) statusValue(a *fastjson.Arena, now units.Time) *fastjson.Value {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := a.NewObject()
	for _, name := range message.SortedKeys(t.byMapping) {
		stats := t.byMapping[name]
		entry := a.NewObject()
		entry.Set("promise", a.NewString(stats.promise))
		entry.Set("service", a.NewString(stats.service))
		for _, c := range []struct {
			name string
			n    uint64
		}{{"asked", stats.requests}, {"first_kept", stats.firstTokenOnTime}, {"first_missed", stats.firstTokenLate},
			{"on_time", stats.onTime}, {"refused", stats.refused}, {"again", stats.retries}, {"ended", stats.streamsEnded}} {
			entry.Set(c.name, a.NewNumberInt(int(c.n)))
		}
		median, _ := stats.firstToken.Quantile(0.5)
		p95, _ := stats.firstToken.Quantile(0.95)
		entry.Set("first_ms_median", a.NewNumberInt(int(median.Milliseconds())))
		entry.Set("first_ms_95th", a.NewNumberInt(int(p95.Milliseconds())))
		entry.Set("refused_after_ms", a.NewNumberInt(int(stats.refusalTime.Milliseconds()/int64(max(1, stats.refused)))))
		entry.Set("held_ms", a.NewNumberInt(int(stats.streamTime.Milliseconds()/int64(max(1, stats.streamsEnded)))))
		entry.Set("per_second", a.NewNumberFloat64(stats.rate(now)))
		o.Set(name, entry)
	}
	return o
}

// writeMetrics writes the statistics as Prometheus text.
func (t *statsByMapping) writeMetrics(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range message.SortedKeys(t.byMapping) {
		stats := t.byMapping[name]
		for _, c := range []struct {
			name string
			n    uint64
		}{{"asked", stats.requests}, {"first_words_kept", stats.firstTokenOnTime}, {"first_words_missed", stats.firstTokenLate},
			{"on_time", stats.onTime}, {"refused", stats.refused}, {"further_tries", stats.retries}} {
			fmt.Fprintf(w, "seamshunt_promise_%s_total{mapping=%q,promise=%q} %d\n", c.name, name, stats.promise, c.n)
		}
		fmt.Fprintf(w, "seamshunt_promise_refused_after_seconds_sum{mapping=%q} %g\n", name, stats.refusalTime.Seconds())
	}
}
