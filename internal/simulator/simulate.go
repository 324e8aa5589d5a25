package simulator

import (
	"fmt"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// Simulate runs a deployment with the named faults, or four that the seed picks. All faults end before the final checks,
// except for two that may be injected at the end.
func Simulate(deployment Deployment, seed uint64, names ...string) *World {
	w := NewWorld(deployment, seed)
	w.At(units.Time(3*time.Second), func() { w.change("config", configText(0), nil) })
	w.At(units.Time(6*time.Second), func() { w.RunOperators(units.Time(55*time.Second), 2*time.Second) })
	w.At(units.Time(10*time.Second), w.GenerateLoad)
	var faults []Fault
	for _, fault := range Faults {
		if slices.Contains(names, fault.Name) {
			faults = append(faults, fault)
		}
	}
	for len(names) == 0 && len(faults) < 4 {
		faults = append(faults, pick(w, Faults))
	}
	for _, fault := range faults {
		at := units.Time(12*time.Second) + units.Time(w.Rng.Int64N(int64(30*time.Second)))
		duration := 2*time.Second + time.Duration(w.Rng.Int64N(int64(6*time.Second)))
		w.FaultSchedule = append(w.FaultSchedule, fmt.Sprintf("%v %s for %v", time.Duration(at).Round(time.Millisecond),
			fault.Name, duration.Round(time.Millisecond)))
		w.At(at, func() { fault.Inject(w, duration) })
	}
	w.Run(units.Time(70 * time.Second))
	w.checkFinalState()
	return w
}

// checkFinalState reads the configuration back and checks the history and the final invariants.
func (w *World) checkFinalState() {
	if w.recoveringSince > 0 {
		w.reportViolation("no request ran again after a full loss")
	}
	if w.Rng.IntN(2) == 0 {
		w.injectFinalFaults()
	}
	var last *Op
	for _, h := range w.controllerHosts { // like an operator who tries one controller after the other
		if !w.alive(h) {
			continue
		}
		w.callAt(w.controllers[h], register.Request{Key: "config"}, func(o *Op) { last = o })
		if w.Run(w.Now.Add(6 * time.Second)); last != nil && last.Code == resultcode.OK {
			break
		}
	}
	newest := acknowledgedConfig{}
	for _, a := range w.acknowledged {
		if a.version > newest.version {
			newest = a
		}
	}
	switch {
	case last == nil || last.Code != resultcode.OK:
		w.reportViolation("the configuration can't be read")
	case last.Version < newest.version || last.Version == newest.version && last.Data != newest.data:
		w.reportViolation("read version %d, acknowledged version %d", last.Version, newest.version)
	case len(w.acknowledged) == 0:
		w.reportViolation("no configuration was ever acknowledged")
	}
	for _, id := range message.SortedKeys(w.workers) {
		if x := w.workers[id]; x.drainingSince > 0 {
			w.Stats.LastRunsAfterDraining = append(w.Stats.LastRunsAfterDraining, x.lastRunAfterDraining)
		}
	}
	if w.Stats.Runs == 0 {
		w.reportViolation("no request ran")
	}
	w.Violations = append(w.Violations, CheckHistory(w.History)...)
	w.checkReplicasAgree()
	w.checkPermitsAvailable()
}

// injectFinalFaults injects two faults at once. At most one of them affects a controller or a single disk.
func (w *World) injectFinalFaults() {
	controller, router := pick(w, w.controllerHosts), pick(w, w.routerHosts)
	type fault struct {
		name string
		do   func()
	}
	mild := []fault{
		{"router killed", func() { w.Kill(router) }},
		{"router paused", func() { w.Pause(router) }},
		{"router isolated", func() { router.Isolated = true }},
		{"platform unreachable", func() { w.platformMode = "gone" }},
		{"crowd", func() { w.requestRate *= 3 }},
		{"every disk full", func() { w.fillDisks(time.Minute) }},
	}
	hard := []fault{
		{"controller killed", func() { w.Kill(controller) }},
		{"controller paused", func() { w.Pause(controller) }},
		{"controller isolated", func() { controller.Isolated = true }},
		{"disk stalled", func() { controller.Disk.Stalled = true }},
		{"disk slow", func() { controller.Disk.Delay = 300 * time.Millisecond }},
		{"controller isolated from the other controllers", func() {
			w.partition(time.Minute, func(a, b *Host) bool {
				return (a == controller) != (b == controller) && a.Disk != nil && b.Disk != nil
			})
		}},
	}
	for _, f := range []fault{pick(w, mild), pick(w, hard)} {
		w.FaultSchedule = append(w.FaultSchedule, "at the end "+f.name)
		f.do()
	}
}

// checkReplicasAgree checks that all voters hold the same state of every key, if no fault is active.
func (w *World) checkReplicasAgree() {
	if !w.faultFree() {
		return
	}
	quorum := w.newestQuorum()
	first := map[string]string{}
	for _, h := range w.controllerHosts {
		if !quorum.Has(h.Disk.ID) {
			continue
		}
		for k, s := range w.controllers[h].Replica.States() {
			state := fmt.Sprint(s.Accepted, s.Seq, s.Version)
			if other, ok := first[k]; ok && other != state {
				w.reportViolation("%s is %s on %s and %s elsewhere", k, state, h.Addr, other)
			}
			first[k] = state
		}
	}
}

// fingerprint returns a summary of messages and disk contents, to compare two runs of a seed.
func (w *World) fingerprint() string {
	s := fmt.Sprintf("%d messages, trace %x, runs %d, refused %d", w.Sent, w.Trace, w.Stats.Runs, w.Stats.Refused)
	for _, h := range w.controllerHosts {
		for _, r := range h.Disk.Records() {
			s += fmt.Sprintf(" %d%s%x", r.Kind, r.Key, units.Mix(string(r.Data)))
		}
	}
	return s
}

// checkPermitsAvailable checks that every ready router can get a permit of every open worker, if no fault is active.
func (w *World) checkPermitsAvailable() {
	if !w.faultFree() {
		return
	}
	w.requestRate = 0
	w.Run(w.Now.Add(25 * time.Second)) // until all runs have ended and all permits of lost routers have expired
	for _, h := range w.routerHosts {
		router := w.routers[h]
		tags, codes := map[string]uint64{}, map[string]resultcode.Code{}
		for _, l := range w.listedWorkers {
			if !router.Ready || l.Draining || router.Evacuated[l.Zone] || !w.workers[l.ID].running {
				continue
			}
			name := "advice/" + l.ID
			router.lastTag++
			tags[name] = router.lastTag
			router.decisionCallbacks[router.lastTag] = func(v admission.Decision) { codes[name] = v.Code }
			w.Inject(h, func(now units.Time) message.Effects {
				return router.queue.Submit(now, admission.Request{Tag: router.lastTag, Policy: "knee",
					Candidates: []string{name}, MaxCandidates: 1, Deadline: now.Add(4 * time.Second),
					Coordinator: func(string) units.NodeID { return capacity.Coordinator(router.peers, name, l.Zone) }})
			})
		}
		w.Run(w.Now.Add(600 * time.Millisecond))
		for _, name := range message.SortedKeys(tags) {
			w.Inject(h, func(now units.Time) message.Effects { return router.queue.Done(now, tags[name], false) })
			if codes[name] != resultcode.OK {
				w.reportViolation("%s gets no permit of %s: %d", h.Addr, name, codes[name])
			}
		}
	}
}

// Percentiles returns the median, the 99th percentile and the maximum as text.
func Percentiles(durations []time.Duration) string {
	if len(durations) == 0 {
		return "none"
	}
	slices.Sort(durations)
	quantile := func(q float64) time.Duration {
		return durations[min(len(durations)-1, int(q*float64(len(durations))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%v / %v / %v of %d", quantile(0.5), quantile(0.99), quantile(1), len(durations))
}
