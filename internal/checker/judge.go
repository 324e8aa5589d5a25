package checker

import (
	"fmt"
	"slices"

	"seamshunt/internal/standin"
)

func (r *Run) once(u Rules, calls map[string]standin.Entry, runs map[string][]standin.Entry) Finding {
	var bad []string
	n := 0
	for job, l := range runs {
		if !u.NonRepeatable[calls[job].Mapping] {
			continue
		}
		n++
		if len(l) > 1 {
			bad = append(bad, fmt.Sprintf("%s ran %d times, on %s and %s", job, len(l), l[0].Worker, l[1].Worker))
		}
	}
	slices.Sort(bad)
	return find(RunsOnce, bad, fmt.Sprintf("%d ran, each once", n))
}

func (r *Run) notRun(runs map[string][]standin.Entry) Finding {
	var bad []string
	n := 0
	for _, c := range r.Calls {
		if !c.NotRun {
			continue
		}
		n++
		if l := runs[c.Job]; len(l) > 0 {
			bad = append(bad, fmt.Sprintf("%s was said not to run (code %d) and ran on %s", c.Job, c.Code, l[0].Worker))
		}
	}
	return find(NotRunIsFinal, bad, fmt.Sprintf("%d refusals said so", n))
}

func (r *Run) whole(runs map[string][]standin.Entry) Finding {
	var bad []string
	n := 0
	for _, c := range r.Calls {
		if c.Status != 200 || !c.Whole {
			continue
		}
		n++
		if c.Fault != "" {
			bad = append(bad, c.Job+": "+c.Fault)
			continue
		}
		ok := false
		for _, s := range runs[c.Job] {
			ok = ok || s.ID == c.ID
		}
		if !ok {
			bad = append(bad, c.Job+": answered as "+c.ID+", which no worker ran for it")
		}
	}
	return find(CompleteAnswers, bad, fmt.Sprintf("%d answers whole", n))
}

func (r *Run) service(u Rules, calls map[string]standin.Entry) Finding {
	var bad []string
	for _, s := range r.Starts {
		c, ok := calls[s.Job]
		if ok && !slices.Contains(u.Pools[c.Mapping], s.Pool) {
			bad = append(bad, fmt.Sprintf("%s of %s ran in pool %s", s.Job, c.Mapping, s.Pool))
		}
	}
	return find(AllowedServices, bad, fmt.Sprintf("%d runs", len(r.Starts)))
}

// atOnce: a prompt that is given up is told so while most of its time is left, not near its end.
func (r *Run) atOnce() Finding {
	var bad []string
	var part []float64
	frozen := r.spans("freeze", "thaw")
	for _, c := range r.Calls {
		if !c.NotRun || c.LeftMs == 0 || c.Code < 300 {
			continue
		}
		stood := false
		for _, x := range frozen[c.Router] {
			stood = stood || c.At <= x[1] && c.End >= x[0]
		}
		if stood {
			continue // a process that stands still can't answer
		}
		x := float64(c.End-c.At) / 1000 / float64(c.LeftMs)
		part = append(part, x)
		if x > 0.8 {
			bad = append(bad, fmt.Sprintf("%s was refused (code %d) with %.0f%% of its time gone", c.Job, c.Code, 100*x))
		}
		if c.Code < 400 && c.BackMs <= 0 {
			return Finding{PromptRefusals, false, c.Job + " was not told when to come back"}
		}
	}
	if len(bad) <= len(part)/50 {
		bad = nil // a waitlist may empty more slowly than foreseen, for one in fifty
	}
	return find(PromptRefusals, bad,
		fmt.Sprintf("%d refusals; share of the time left gone: median %.1f%%, 95th %.1f%%", len(part), 100*at(part, 0.5), 100*at(part, 0.95)))
}

func at(l []float64, q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(q*float64(len(l))))]
}

// spans gives the times between an event's beginning and its end for each target.
func (r *Run) spans(begin, end string) map[string][][2]int64 {
	m := map[string][][2]int64{}
	for _, e := range r.Events {
		l := m[e.Target]
		open := len(l) > 0 && l[len(l)-1][1] == 1<<62
		switch {
		case e.How == begin && !open:
			m[e.Target] = append(l, [2]int64{e.At, 1 << 62})
		case e.How == end && open:
			l[len(l)-1][1] = e.At
		}
	}
	return m
}

// late lists the runs that began later than a limit after the beginning of a span; excused ones don't count.
func (r *Run) late(m map[string][][2]int64, key func(standin.Entry) string, limit int64, excused func(standin.Entry) bool) (bad []string, worst int64) {
	for _, s := range r.Starts {
		if excused(s) {
			continue
		}
		for _, x := range m[key(s)] {
			if s.At <= x[0] || s.At >= x[1] {
				continue
			}
			worst = max(worst, s.At-x[0])
			if s.At-x[0] > limit {
				bad = append(bad, fmt.Sprintf("%s began on %s in zone %s after %s", s.Job, s.Worker, s.Zone, ms(s.At-x[0])))
			}
		}
	}
	return bad, worst
}

func (r *Run) leaving(u Rules) Finding {
	m := r.spans("leave", "stay")
	none := func(standin.Entry) bool { return false }
	bad, worst := r.late(m, func(s standin.Entry) string { return s.Worker }, u.DrainDelay.Microseconds(), none)
	return find(WorkerDraining, bad, fmt.Sprintf("%d left; the last new run came after %s", len(m), ms(worst)))
}

// zones: what a router hands over that stood still a moment ago isn't judged.
func (r *Run) zones(u Rules, calls map[string]standin.Entry) Finding {
	m, frozen := r.spans("evacuate", "readmit"), r.spans("freeze", "thaw")
	stood := func(s standin.Entry) bool {
		for _, x := range frozen[calls[s.Job].Router] {
			if s.At >= x[0] && s.At-x[1] < u.ReconnectDelay.Microseconds() {
				return true
			}
		}
		return false
	}
	bad, worst := r.late(m, func(s standin.Entry) string { return s.Zone }, u.EvacuationDelay.Microseconds(), stood)
	return find(ZoneEvacuation, bad, fmt.Sprintf("%d evacuated; the last new run came after %s", len(m), ms(worst)))
}

// retries counts, in every ten seconds, runs that were not their job's first.
func (r *Run) retries(u Rules) Finding {
	const span = 10_000_000
	seen := map[string]bool{}
	again := make([]int, len(r.Starts)+1)
	for i, s := range r.Starts {
		again[i+1] = again[i]
		if seen[s.Job] {
			again[i+1]++
		}
		seen[s.Job] = true
	}
	var bad []string
	worst, from := 0.0, 0
	for i, s := range r.Starts {
		for r.Starts[from].At <= s.At-span {
			from++
		}
		n, a := i+1-from, again[i+1]-again[from]
		x := float64(a) / float64(max(n, 20))
		worst = max(worst, x)
		if x > u.RetryBudget {
			bad = append(bad, fmt.Sprintf("%d of %d runs in ten seconds were further tries", a, n))
		}
	}
	return find("retries stay within a fifth over any ten seconds", bad, fmt.Sprintf("at most %.1f%%", 100*worst))
}
