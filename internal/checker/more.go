package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"seamshunt/internal/standin"
)

// config: the harness writes down what was acknowledged and what was read back at the end.
func (r *Run) config() Finding {
	const p = ConfigReadBack
	acked, read, n := "", "", 0
	for _, e := range r.Events {
		switch e.How {
		case "config-acknowledged":
			n++
			if acked == "" || number(e.Target) > number(acked) {
				acked = e.Target
			}
		case "config-read":
			read = e.Target
		}
	}
	switch {
	case n == 0:
		return Finding{p, true, "none was sent in this run"}
	case read == "":
		return Finding{p, false, "it was never read back"}
	case read != acked:
		return Finding{p, false, "read back " + read + ", acknowledged " + acked}
	}
	return Finding{p, true, fmt.Sprintf("%d acknowledged, the last read back", n)}
}

func number(mark string) int {
	head, _, _ := strings.Cut(mark, "/")
	n, _ := strconv.Atoi(head)
	return n
}

// hard are events after which a stream may break: its node or its worker was taken away.
var hard = map[string]bool{"kill": true, "freeze": true, "thaw": true, "wipe": true, "killall": true, "wrong": true, "bounce": true, "silence": true, "wake": true}

// cuts: a stream that began may break only where its worker or its router was taken away by force.
func (r *Run) cuts() Finding {
	var bad []string
	broken := 0
	parted := r.spans("cut", "heal")
	for _, c := range r.Calls {
		if c.Status != 200 || c.Whole || c.Fault == standin.Left {
			continue
		}
		broken++
		excuse := false
		for _, e := range r.Events {
			target := e.Target == "" || e.Target == c.Router || e.Target == worker(c.Worker)
			if hard[e.How] && target && e.At <= c.End {
				excuse = true
			}
		}
		for _, l := range parted {
			for _, x := range l {
				excuse = excuse || c.End >= x[0] && c.At <= x[1]
			}
		}
		late := (c.End-c.At)/1000 >= int64(c.LeftMs)-50
		if !excuse && !late {
			bad = append(bad, fmt.Sprintf("%s on %s by %s broke after %s", c.Job, c.Worker, c.Router, ms(c.End-c.At)))
		}
	}
	return find(UnbrokenStreams, bad, fmt.Sprintf("%d streams broke, all with their node or worker or out of time", broken))
}

func worker(name string) string {
	_, id, _ := strings.Cut(name, "/")
	return id
}

// caps: the runs that a worker had at one time, counted from its own journal.
func (r *Run) caps(u Rules) Finding {
	type step struct {
		at int64
		by int
	}
	by := map[string][]step{}
	for _, s := range r.Starts {
		e, ok := r.Ends[s.Worker+" "+s.ID]
		if !ok {
			continue // its worker was killed under it
		}
		by[s.Worker] = append(by[s.Worker], step{s.At, 1}, step{e.At, -1})
	}
	var bad []string
	most := 0
	for w, l := range by {
		slices.SortFunc(l, func(a, b step) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by))
		})
		n, top := 0, 0
		for _, x := range l {
			n += x.by
			top = max(top, n)
		}
		most = max(most, top)
		if top > u.MaxInFlight {
			bad = append(bad, fmt.Sprintf("%s had %d runs at once, cap %d", w, top, u.MaxInFlight))
		}
	}
	return find("no worker carries more than its cap", bad, fmt.Sprintf("at most %d at once", most))
}

// back: after everything was lost and started again, service is there within 12 s.
func (r *Run) back(u Rules) Finding {
	var bad []string
	worst, n := int64(0), 0
	for _, e := range r.Events {
		if e.How != "startall" {
			continue
		}
		n++
		first := int64(0)
		for _, c := range r.Calls {
			if c.At > e.At && c.Status == 200 && c.Whole && (first == 0 || c.End < first) {
				first = c.End
			}
		}
		if first == 0 || first-e.At > u.RecoveryTime.Microseconds() {
			bad = append(bad, "the first answer came after "+ms(first-e.At))
		}
		worst = max(worst, first-e.At)
	}
	return find(RecoveryTime, bad, fmt.Sprintf("%d full losses; back after %s", n, ms(worst)))
}

// Statistics are what a run measured.
type Statistics struct {
	Mapping                      string
	Sent                         int
	OnTime                       int // whole, and within the caller's time left
	Refused, Broken              int
	Other                        int
	Abandoned                    int     // their callers left; not counted as sent
	FirstTokenP50, FirstTokenP95 float64 // ms to first words: median and 95th
}

// Measure counts per mapping, over the calls that began in a span of the run.
func (r *Run) Measure(from, to int64) []Statistics {
	by := map[string]*Statistics{}
	firsts := map[string][]float64{}
	for _, c := range r.Calls {
		if c.At < from || c.At >= to {
			continue
		}
		f := by[c.Mapping]
		if f == nil {
			f = &Statistics{Mapping: c.Mapping}
			by[c.Mapping] = f
		}
		if c.Fault == standin.Left {
			f.Abandoned++
			continue
		}
		f.Sent++
		switch {
		case c.Status == 200 && c.Whole && c.Fault == "" && (c.End-c.At)/1000 <= int64(c.LeftMs):
			f.OnTime++
		case c.Status == 200:
			f.Broken++
		case c.NotRun:
			f.Refused++
		default:
			f.Other++
		}
		if c.FirstUs > 0 {
			firsts[c.Mapping] = append(firsts[c.Mapping], float64(c.FirstUs)/1000)
		}
	}
	var l []Statistics
	for m, f := range by {
		f.FirstTokenP50, f.FirstTokenP95 = at(firsts[m], 0.5), at(firsts[m], 0.95)
		l = append(l, *f)
	}
	slices.SortFunc(l, func(a, b Statistics) int { return cmp.Compare(a.Mapping, b.Mapping) })
	return l
}

// CacheHits gives the mean share of prompt bytes found in workers' prefix caches, and the share of runs outside
// the zone of the router that handed them over with their prompts' bytes.
func (r *Run) CacheHits(zone map[string]string) (hit, cross float64, bytes int) {
	router := map[string]string{}
	for _, c := range r.Calls {
		router[c.Job] = c.Router
	}
	n, away := 0, 0
	var sum float64
	for _, s := range r.Starts {
		sum += s.Hit
		n++
		if z, ok := zone[router[s.Job]]; ok && z != s.Zone {
			away++
			bytes += s.Bytes
		}
	}
	if n == 0 {
		return 0, 0, 0
	}
	return sum / float64(n), float64(away) / float64(n), bytes
}

// served: a fleet that refuses everybody keeps many promises, and is worth nothing.
func (r *Run) served(u Rules) Finding {
	good, all := 0, 0
	for _, f := range r.Measure(0, 1<<62) {
		good += f.OnTime
		all += f.Sent
	}
	x := float64(good) / float64(max(1, all))
	f := Finding{ClientsServed, x >= u.MinServed, fmt.Sprintf("%.1f%% whole and on time, at least %.0f%% wanted", 100*x, 100*u.MinServed)}
	return f
}
