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

// tally counts how a mapping's promise is kept at this node (design 9).
type tally struct {
	promise    string
	service    string
	aim        time.Duration
	asked      uint64
	kept       uint64 // first words within the promise
	missed     uint64
	whole      uint64 // sealed, within the time left
	refused    uint64
	again      uint64 // further tries
	waited     time.Duration
	held       time.Duration // by all streams that ended
	ended      uint64
	first      upstream.FirstTokenTimes
	lasting    upstream.FirstTokenTimes // how long requests took from their reading to the end of their whole answers
	firstAsked units.Time
	secs       [60]struct {
		at int64
		n  int
	}
}

type tallies struct {
	mu sync.Mutex
	by map[string]*tally
}

// count does something to a mapping's tally.
func (t *tallies) count(m *config.Mapping, f func(*tally)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.by[m.Name]
	if x == nil {
		x = &tally{}
		if t.by == nil {
			t.by = map[string]*tally{}
		}
		t.by[m.Name] = x
	}
	x.promise, x.service, x.aim = m.Promise.Name, m.Services[0], m.Promise.MaxFirstTokenTime
	f(x)
}

// lastedLeast is how many requests of a mapping must have been whole before it is known how long they last.
const lastedLeast = 8

// lasted is what was seen of how long a mapping's requests last, from their reading to the end of their whole answers.
type lasted struct {
	longest time.Duration
	watched time.Duration // for how long they were watched; 0 if too few were whole
}

// lasted gives what was seen of a mapping's latest requests.
func (t *tallies) lasted(now units.Time, m *config.Mapping) (seen lasted) {
	t.count(m, func(x *tally) {
		if longest, measured := x.lasting.Quantile(1); measured >= lastedLeast {
			seen = lasted{longest: longest, watched: now.Sub(x.firstAsked)}
		}
	})
	return seen
}

func (x *tally) ask(now units.Time) {
	if x.asked++; x.asked == 1 {
		x.firstAsked = now
	}
	at := int64(now) / int64(time.Second)
	s := &x.secs[at%60]
	if s.at != at {
		s.at, s.n = at, 0
	}
	s.n++
}

// rate is how many came in a second, over the last whole minute or as long as there is one.
func (x *tally) rate(now units.Time) float64 {
	at, n, from := int64(now)/int64(time.Second), 0, int64(now)/int64(time.Second)
	for _, s := range x.secs {
		if s.n > 0 && s.at < at && s.at > at-60 {
			n += s.n
			from = min(from, s.at)
		}
	}
	return float64(n) / float64(max(1, at-from))
}

func (x *tally) firstWords(d time.Duration) {
	x.first.Add(d)
	if d <= x.aim {
		x.kept++
	} else {
		x.missed++
	}
}

// value lays the tallies out for status.
func (t *tallies) value(a *fastjson.Arena, now units.Time) *fastjson.Value {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := a.NewObject()
	for _, name := range message.SortedKeys(t.by) {
		x := t.by[name]
		y := a.NewObject()
		y.Set("promise", a.NewString(x.promise))
		y.Set("service", a.NewString(x.service))
		for _, c := range []struct {
			name string
			n    uint64
		}{{"asked", x.asked}, {"first_kept", x.kept}, {"first_missed", x.missed}, {"on_time", x.whole}, {"refused", x.refused}, {"again", x.again}, {"ended", x.ended}} {
			y.Set(c.name, a.NewNumberInt(int(c.n)))
		}
		half, _ := x.first.Quantile(0.5)
		most, _ := x.first.Quantile(0.95)
		y.Set("first_ms_median", a.NewNumberInt(int(half.Milliseconds())))
		y.Set("first_ms_95th", a.NewNumberInt(int(most.Milliseconds())))
		y.Set("refused_after_ms", a.NewNumberInt(int(x.waited.Milliseconds()/int64(max(1, x.refused)))))
		y.Set("held_ms", a.NewNumberInt(int(x.held.Milliseconds()/int64(max(1, x.ended)))))
		y.Set("per_second", a.NewNumberFloat64(x.rate(now)))
		o.Set(name, y)
	}
	return o
}

// metrics writes them as Prometheus text.
func (t *tallies) metrics(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range message.SortedKeys(t.by) {
		x := t.by[name]
		for _, c := range []struct {
			name string
			n    uint64
		}{{"asked", x.asked}, {"first_words_kept", x.kept}, {"first_words_missed", x.missed}, {"on_time", x.whole}, {"refused", x.refused}, {"further_tries", x.again}} {
			fmt.Fprintf(w, "seamshunt_promise_%s_total{mapping=%q,promise=%q} %d\n", c.name, name, x.promise, c.n)
		}
		fmt.Fprintf(w, "seamshunt_promise_refused_after_seconds_sum{mapping=%q} %g\n", name, x.waited.Seconds())
	}
}
