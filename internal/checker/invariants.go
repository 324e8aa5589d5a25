package checker

import (
	"fmt"
	"slices"

	"seamshunt/internal/standin"
)

func (r *Run) checkRunsOnce(u Rules, calls map[string]standin.Entry, runs map[string][]standin.Entry) Finding {
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
	return newFinding(RunsOnce, bad, fmt.Sprintf("%d ran, each once", n))
}

func (r *Run) checkNotRun(runs map[string][]standin.Entry) Finding {
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
	return newFinding(NotRunIsFinal, bad, fmt.Sprintf("%d refusals said so", n))
}

func (r *Run) checkCompleteAnswers(runs map[string][]standin.Entry) Finding {
	var bad []string
	n := 0
	for _, c := range r.Calls {
		if c.Status != 200 || !c.Complete {
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
	return newFinding(CompleteAnswers, bad, fmt.Sprintf("%d answers whole", n))
}

func (r *Run) checkServices(u Rules, calls map[string]standin.Entry) Finding {
	var bad []string
	for _, s := range r.Starts {
		c, ok := calls[s.Job]
		if ok && !slices.Contains(u.Pools[c.Mapping], s.Pool) {
			bad = append(bad, fmt.Sprintf("%s of %s ran in pool %s", s.Job, c.Mapping, s.Pool))
		}
	}
	return newFinding(AllowedServices, bad, fmt.Sprintf("%d runs", len(r.Starts)))
}

// checkPromptRefusals checks that a request is refused while much of its time is left, not near its deadline.
func (r *Run) checkPromptRefusals() Finding {
	var bad []string
	var shares []float64
	paused := r.intervals("freeze", "thaw")
	for _, c := range r.Calls {
		if !c.NotRun || c.TimeLeftMs == 0 || c.Code < 300 {
			continue
		}
		wasPaused := false
		for _, x := range paused[c.Router] {
			wasPaused = wasPaused || c.At <= x[1] && c.End >= x[0]
		}
		if wasPaused {
			continue // a paused process can't answer
		}
		x := float64(c.End-c.At) / 1000 / float64(c.TimeLeftMs)
		shares = append(shares, x)
		if x > 0.8 {
			bad = append(bad, fmt.Sprintf("%s was refused (code %d) with %.0f%% of its time gone", c.Job, c.Code, 100*x))
		}
		if c.Code < 400 && c.RetryAfterMs <= 0 {
			return Finding{PromptRefusals, false, c.Job + " was not told when to come back"}
		}
	}
	if len(bad) <= len(shares)/50 {
		bad = nil // a waiting queue may drain more slowly than predicted, for one refusal in fifty
	}
	return newFinding(PromptRefusals, bad,
		fmt.Sprintf("%d refusals; share of the time left gone: median %.1f%%, 95th %.1f%%", len(shares), 100*quantile(shares, 0.5), 100*quantile(shares, 0.95)))
}

func quantile(l []float64, q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(q*float64(len(l))))]
}

// intervals returns, for each target, the intervals between a begin event and its end event.
func (r *Run) intervals(begin, end string) map[string][][2]int64 {
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

// overdueStarts lists the runs that began inside an interval, but later than limit after its start; excused runs don't count.
func (r *Run) overdueStarts(intervals map[string][][2]int64, key func(standin.Entry) string, limit int64, excused func(standin.Entry) bool) (bad []string, worst int64) {
	for _, s := range r.Starts {
		if excused(s) {
			continue
		}
		for _, x := range intervals[key(s)] {
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

func (r *Run) checkDraining(u Rules) Finding {
	draining := r.intervals("leave", "stay")
	neverExcused := func(standin.Entry) bool { return false }
	bad, worst := r.overdueStarts(draining, func(s standin.Entry) string { return s.Worker }, u.DrainDelay.Microseconds(), neverExcused)
	return newFinding(WorkerDraining, bad, fmt.Sprintf("%d left; the last new run came after %s", len(draining), ms(worst)))
}

// checkEvacuation ignores requests from routers that were paused until a moment ago: they may not know of the evacuation yet.
func (r *Run) checkEvacuation(u Rules, calls map[string]standin.Entry) Finding {
	evacuations, paused := r.intervals("evacuate", "readmit"), r.intervals("freeze", "thaw")
	recentlyPaused := func(s standin.Entry) bool {
		for _, x := range paused[calls[s.Job].Router] {
			if s.At >= x[0] && s.At-x[1] < u.ReconnectDelay.Microseconds() {
				return true
			}
		}
		return false
	}
	bad, worst := r.overdueStarts(evacuations, func(s standin.Entry) string { return s.Zone }, u.EvacuationDelay.Microseconds(), recentlyPaused)
	return newFinding(ZoneEvacuation, bad, fmt.Sprintf("%d evacuated; the last new run came after %s", len(evacuations), ms(worst)))
}

// checkRetries counts, in every window of ten seconds, the runs that were not the first of their job.
func (r *Run) checkRetries(u Rules) Finding {
	const window = 10_000_000
	seen := map[string]bool{}
	retriesUpTo := make([]int, len(r.Starts)+1)
	for i, s := range r.Starts {
		retriesUpTo[i+1] = retriesUpTo[i]
		if seen[s.Job] {
			retriesUpTo[i+1]++
		}
		seen[s.Job] = true
	}
	var bad []string
	worst, from := 0.0, 0
	for i, s := range r.Starts {
		for r.Starts[from].At <= s.At-window {
			from++
		}
		runs, retries := i+1-from, retriesUpTo[i+1]-retriesUpTo[from]
		share := float64(retries) / float64(max(runs, 20))
		worst = max(worst, share)
		if share > u.RetryBudget {
			bad = append(bad, fmt.Sprintf("%d of %d runs in ten seconds were further tries", retries, runs))
		}
	}
	return newFinding("retries stay within a fifth over any ten seconds", bad, fmt.Sprintf("at most %.1f%%", 100*worst))
}
