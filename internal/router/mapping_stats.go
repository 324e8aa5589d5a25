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

// mappingStats counts how a mapping's promise is kept at this node (design 9).
type mappingStats struct {
	promise           string
	service           string
	target            time.Duration
	requests          uint64
	firstOutputOnTime uint64 // first words within the promise
	firstOutputLate   uint64
	onTime            uint64 // sealed, within the time left
	refused           uint64
	retries           uint64 // further tries
	refusalTime       time.Duration
	streamTime        time.Duration // by all streams that ended
	streamsEnded      uint64
	firstOutput       upstream.Habit
	durations         upstream.Habit // how long requests took from their reading to the end of their whole answers
	firstRequestAt    units.Time
	seconds           [60]struct {
		second int64
		count  int
	}
}

type statsByMapping struct {
	mu        sync.Mutex
	byMapping map[string]*mappingStats
}

// update does something to a mapping's tally.
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
	stats.promise, stats.service, stats.target = m.Promise.Name, m.To[0], m.Promise.First
	change(stats)
}

// minDurationSamples is how many requests of a mapping must have been whole before it is known how long they last.
const minDurationSamples = 8

// requestDurations is what was seen of how long a mapping's requests last, from their reading to the end of their whole answers.
type requestDurations struct {
	longest     time.Duration
	observedFor time.Duration // for how long they were watched; 0 if too few were whole
}

// durations gives what was seen of a mapping's latest requests.
func (t *statsByMapping) durations(now units.Time, m *config.Mapping) (seen requestDurations) {
	t.update(m, func(stats *mappingStats) {
		if longest, measured := stats.durations.At(1); measured >= minDurationSamples {
			seen = requestDurations{longest: longest, observedFor: now.Sub(stats.firstRequestAt)}
		}
	})
	return seen
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

// rate is how many came in a second, over the last whole minute or as long as there is one.
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

func (x *mappingStats) recordFirstOutput(d time.Duration) {
	x.firstOutput.Add(d)
	if d <= x.target {
		x.firstOutputOnTime++
	} else {
		x.firstOutputLate++
	}
}

// statusValue lays the tallies out for status.
func (t *statsByMapping) statusValue(a *fastjson.Arena, now units.Time) *fastjson.Value {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := a.NewObject()
	for _, name := range message.Keys(t.byMapping) {
		stats := t.byMapping[name]
		entry := a.NewObject()
		entry.Set("promise", a.NewString(stats.promise))
		entry.Set("service", a.NewString(stats.service))
		for _, c := range []struct {
			name string
			n    uint64
		}{{"asked", stats.requests}, {"first_kept", stats.firstOutputOnTime}, {"first_missed", stats.firstOutputLate}, {"on_time", stats.onTime}, {"refused", stats.refused}, {"again", stats.retries}, {"ended", stats.streamsEnded}} {
			entry.Set(c.name, a.NewNumberInt(int(c.n)))
		}
		median, _ := stats.firstOutput.At(0.5)
		p95, _ := stats.firstOutput.At(0.95)
		entry.Set("first_ms_median", a.NewNumberInt(int(median.Milliseconds())))
		entry.Set("first_ms_95th", a.NewNumberInt(int(p95.Milliseconds())))
		entry.Set("refused_after_ms", a.NewNumberInt(int(stats.refusalTime.Milliseconds()/int64(max(1, stats.refused)))))
		entry.Set("held_ms", a.NewNumberInt(int(stats.streamTime.Milliseconds()/int64(max(1, stats.streamsEnded)))))
		entry.Set("per_second", a.NewNumberFloat64(stats.rate(now)))
		o.Set(name, entry)
	}
	return o
}

// writeMetrics writes them as Prometheus text.
func (t *statsByMapping) writeMetrics(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range message.Keys(t.byMapping) {
		stats := t.byMapping[name]
		for _, c := range []struct {
			name string
			n    uint64
		}{{"asked", stats.requests}, {"first_words_kept", stats.firstOutputOnTime}, {"first_words_missed", stats.firstOutputLate}, {"on_time", stats.onTime}, {"refused", stats.refused}, {"further_tries", stats.retries}} {
			fmt.Fprintf(w, "seamshunt_promise_%s_total{mapping=%q,promise=%q} %d\n", c.name, name, stats.promise, c.n)
		}
		fmt.Fprintf(w, "seamshunt_promise_refused_after_seconds_sum{mapping=%q} %g\n", name, stats.refusalTime.Seconds())
	}
}
