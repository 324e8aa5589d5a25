package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"seamshunt/internal/standin"
)

// checkConfigReadBack compares the newest configuration that was acknowledged with the one that was read back at the end.
func (r *Run) checkConfigReadBack() Finding {
	const invariant = ConfigReadBack
	acked, read, n := "", "", 0
	for _, e := range r.Events {
		switch e.How {
		case "config-acknowledged":
			n++
			if acked == "" || versionNumber(e.Target) > versionNumber(acked) {
				acked = e.Target
			}
		case "config-read":
			read = e.Target
		}
	}
	switch {
	case n == 0:
		return Finding{invariant, true, "none was sent in this run"}
	case read == "":
		return Finding{invariant, false, "it was never read back"}
	case read != acked:
		return Finding{invariant, false, "read back " + read + ", acknowledged " + acked}
	}
	return Finding{invariant, true, fmt.Sprintf("%d acknowledged, the last read back", n)}
}

func versionNumber(fingerprint string) int {
	head, _, _ := strings.Cut(fingerprint, "/")
	n, _ := strconv.Atoi(head)
	return n
}

// forcedEvents are events after which a stream may break: its router or its worker was removed.
var forcedEvents = map[string]bool{"kill": true, "freeze": true, "thaw": true, "wipe": true, "killall": true, "wrong": true, "bounce": true, "silence": true, "wake": true}

// checkUnbrokenStreams checks that a stream broke off only if its worker or router was removed by force, or its time ran out.
func (r *Run) checkUnbrokenStreams() Finding {
	var bad []string
	broken := 0
	partitions := r.intervals("cut", "heal")
	for _, c := range r.Calls {
		if c.Status != 200 || c.Complete || c.Fault == standin.FaultClientDisconnected {
			continue
		}
		broken++
		excused := false
		for _, e := range r.Events {
			target := e.Target == "" || e.Target == c.Router || e.Target == workerID(c.Worker)
			if forcedEvents[e.How] && target && e.At <= c.End {
				excused = true
			}
		}
		for _, l := range partitions {
			for _, x := range l {
				excused = excused || c.End >= x[0] && c.At <= x[1]
			}
		}
		timedOut := (c.End-c.At)/1000 >= int64(c.TimeLeftMs)-50
		if !excused && !timedOut {
			bad = append(bad, fmt.Sprintf("%s on %s by %s broke after %s", c.Job, c.Worker, c.Router, ms(c.End-c.At)))
		}
	}
	return newFinding(UnbrokenStreams, bad, fmt.Sprintf("%d streams broke, all with their node or worker or out of time", broken))
}

func workerID(name string) string {
	_, id, _ := strings.Cut(name, "/")
	return id
}

// checkCapacity checks the maximum number of concurrent runs of each worker, counted from its own journal.
func (r *Run) checkCapacity(u Rules) Finding {
	type step struct {
		at int64
		by int
	}
	steps := map[string][]step{}
	for _, s := range r.Starts {
		e, ok := r.Ends[s.Worker+" "+s.ID]
		if !ok {
			continue // its worker was killed during the run
		}
		steps[s.Worker] = append(steps[s.Worker], step{s.At, 1}, step{e.At, -1})
	}
	var bad []string
	maxRunning := 0
	for w, l := range steps {
		slices.SortFunc(l, func(a, b step) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by))
		})
		running, peak := 0, 0
		for _, x := range l {
			running += x.by
			peak = max(peak, running)
		}
		maxRunning = max(maxRunning, peak)
		if peak > u.MaxInFlight {
			bad = append(bad, fmt.Sprintf("%s had %d runs at once, cap %d", w, peak, u.MaxInFlight))
		}
	}
	return newFinding("no worker carries more than its cap", bad, fmt.Sprintf("at most %d at once", maxRunning))
}

// checkRecovery checks that a client is answered within the limit (12 s by default) after a full loss and restart.
func (r *Run) checkRecovery(u Rules) Finding {
	var bad []string
	worst, n := int64(0), 0
	for _, e := range r.Events {
		if e.How != "startall" {
			continue
		}
		n++
		firstAnswer := int64(0)
		for _, c := range r.Calls {
			if c.At > e.At && c.Status == 200 && c.Complete && (firstAnswer == 0 || c.End < firstAnswer) {
				firstAnswer = c.End
			}
		}
		if firstAnswer == 0 || firstAnswer-e.At > u.RecoveryTime.Microseconds() {
			bad = append(bad, "the first answer came after "+ms(firstAnswer-e.At))
		}
		worst = max(worst, firstAnswer-e.At)
	}
	return newFinding(RecoveryTime, bad, fmt.Sprintf("%d full losses; back after %s", n, ms(worst)))
}

// Statistics are the measurements of one mapping.
type Statistics struct {
	Mapping                      string
	Sent                         int
	OnTime                       int // completely, and before the client's deadline
	Refused, Broken              int
	Other                        int
	Abandoned                    int     // the client disconnected; not counted as sent
	FirstTokenP50, FirstTokenP95 float64 // time to the first token in ms
}

// Measure returns the statistics of each mapping over the calls that began in [from, to).
func (r *Run) Measure(from, to int64) []Statistics {
	byMapping := map[string]*Statistics{}
	firstTokenTimes := map[string][]float64{}
	for _, c := range r.Calls {
		if c.At < from || c.At >= to {
			continue
		}
		f := byMapping[c.Mapping]
		if f == nil {
			f = &Statistics{Mapping: c.Mapping}
			byMapping[c.Mapping] = f
		}
		if c.Fault == standin.FaultClientDisconnected {
			f.Abandoned++
			continue
		}
		f.Sent++
		switch {
		case c.Status == 200 && c.Complete && c.Fault == "" && (c.End-c.At)/1000 <= int64(c.TimeLeftMs):
			f.OnTime++
		case c.Status == 200:
			f.Broken++
		case c.NotRun:
			f.Refused++
		default:
			f.Other++
		}
		if c.FirstUs > 0 {
			firstTokenTimes[c.Mapping] = append(firstTokenTimes[c.Mapping], float64(c.FirstUs)/1000)
		}
	}
	var l []Statistics
	for m, f := range byMapping {
		f.FirstTokenP50, f.FirstTokenP95 = quantile(firstTokenTimes[m], 0.5), quantile(firstTokenTimes[m], 0.95)
		l = append(l, *f)
	}
	slices.SortFunc(l, func(a, b Statistics) int { return cmp.Compare(a.Mapping, b.Mapping) })
	return l
}

// CacheHits returns the mean share of prompt bytes found in workers' prefix caches, the share of runs in another zone than
// the router that dispatched them, and the prompt bytes of those runs.
func (r *Run) CacheHits(zone map[string]string) (hit, cross float64, bytes int) {
	router := map[string]string{}
	for _, c := range r.Calls {
		router[c.Job] = c.Router
	}
	n, crossZone := 0, 0
	var sum float64
	for _, s := range r.Starts {
		sum += s.CacheHit
		n++
		if z, ok := zone[router[s.Job]]; ok && z != s.Zone {
			crossZone++
			bytes += s.Bytes
		}
	}
	if n == 0 {
		return 0, 0, 0
	}
	return sum / float64(n), float64(crossZone) / float64(n), bytes
}

// checkServed requires a minimum share of answered requests: a fleet that refuses everything satisfies most invariants.
func (r *Run) checkServed(u Rules) Finding {
	good, all := 0, 0
	for _, f := range r.Measure(0, 1<<62) {
		good += f.OnTime
		all += f.Sent
	}
	share := float64(good) / float64(max(1, all))
	f := Finding{ClientsServed, share >= u.MinServed, fmt.Sprintf("%.1f%% whole and on time, at least %.0f%% wanted", 100*share, 100*u.MinServed)}
	return f
}
