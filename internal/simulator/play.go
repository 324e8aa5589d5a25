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

// Simulate runs a world from its start to its judgement: troubles drawn from the seed, everything healed at the
// end but for a closing fault, then the read-back.
func Simulate(p Deployment, seed uint64, names ...string) *World {
	w := NewWorld(p, seed)
	w.At(units.Time(3*time.Second), func() { w.change("config", configText(0), nil) })
	w.At(units.Time(6*time.Second), func() { w.RunOperators(units.Time(55*time.Second), 2*time.Second) })
	w.At(units.Time(10*time.Second), w.GenerateLoad)
	var l []Fault
	for _, t := range Faults {
		if slices.Contains(names, t.Name) {
			l = append(l, t)
		}
	}
	for len(names) == 0 && len(l) < 4 {
		l = append(l, pick(w, Faults))
	}
	for _, t := range l {
		at := units.Time(12*time.Second) + units.Time(w.Rng.Int64N(int64(30*time.Second)))
		span := 2*time.Second + time.Duration(w.Rng.Int64N(int64(6*time.Second)))
		w.FaultSchedule = append(w.FaultSchedule, fmt.Sprintf("%v %s for %v", time.Duration(at).Round(time.Millisecond), t.Name, span.Round(time.Millisecond)))
		w.At(at, func() { t.Inject(w, span) })
	}
	w.Run(units.Time(70 * time.Second))
	w.end()
	return w
}

// end reads the configuration back and judges the histories.
func (w *World) end() {
	if w.full > 0 {
		w.fault("service never came back after a full loss")
	}
	if w.Rng.IntN(2) == 0 {
		w.close()
	}
	var last *Op
	for _, h := range w.coreH { // as an operator would, by one machine after the other
		if !w.alive(h) {
			continue
		}
		w.callAt(w.cores[h], register.Request{Key: "config"}, func(o *Op) { last = o })
		if w.Run(w.Now.Add(6 * time.Second)); last != nil && last.Code == resultcode.OK {
			break
		}
	}
	newest := ackedConfig{}
	for _, a := range w.acked {
		if a.num > newest.num {
			newest = a
		}
	}
	switch {
	case last == nil || last.Code != resultcode.OK:
		w.fault("the configuration can't be read back")
	case last.Version < newest.num || last.Version == newest.num && last.Data != newest.data:
		w.fault("read back number %d, acknowledged %d", last.Version, newest.num)
	case len(w.acked) == 0:
		w.fault("no configuration was ever acknowledged")
	}
	for _, id := range message.SortedKeys(w.workers) {
		if x := w.workers[id]; x.leaving > 0 {
			w.Stats.LastRunsAfterDraining = append(w.Stats.LastRunsAfterDraining, x.late)
		}
	}
	if w.Stats.Runs == 0 {
		w.fault("no prompt ever ran")
	}
	w.Violations = append(w.Violations, CheckHistory(w.History)...)
	w.alike()
	w.kept()
}

// close ends a day with two faults at once, of which no more than one takes a core machine or a disk.
func (w *World) close() {
	core, edge := pick(w, w.coreH), pick(w, w.edgeH)
	type fault struct {
		name string
		do   func()
	}
	mild := []fault{
		{"router killed", func() { w.Kill(edge) }},
		{"router frozen", func() { w.Pause(edge) }},
		{"router cut off", func() { edge.Isolated = true }},
		{"platform gone", func() { w.mood = "gone" }},
		{"crowd", func() { w.rate *= 3 }},
		{"every disk full", func() { w.fill(time.Minute) }},
	}
	hard := []fault{
		{"core machine killed", func() { w.Kill(core) }},
		{"core machine frozen", func() { w.Pause(core) }},
		{"core machine cut off", func() { core.Isolated = true }},
		{"disk stalled", func() { core.Disk.Stalled = true }},
		{"disk slow", func() { core.Disk.Delay = 300 * time.Millisecond }},
		{"core machine cut off from the core", func() {
			w.cut(time.Minute, func(a, b *Host) bool { return (a == core) != (b == core) && a.Disk != nil && b.Disk != nil })
		}},
	}
	for _, f := range []fault{pick(w, mild), pick(w, hard)} {
		w.FaultSchedule = append(w.FaultSchedule, "at the end "+f.name)
		f.do()
	}
}

// alike: once all is healed, every voter's copy of every key is the same.
func (w *World) alike() {
	if !w.whole() {
		return
	}
	v := w.voters()
	first := map[string]string{}
	for _, h := range w.coreH {
		if !v.Has(h.Disk.ID) {
			continue
		}
		for k, s := range w.cores[h].Replica.States() {
			x := fmt.Sprint(s.Accepted, s.Seq, s.Version)
			if y, ok := first[k]; ok && y != x {
				w.fault("%s is %s on %s and %s elsewhere", k, x, h.Addr, y)
			}
			first[k] = x
		}
	}
}

// state hashes what all hosts hold, for comparing two runs of a seed.
func (w *World) state() string {
	s := fmt.Sprintf("%d notes, trace %x, runs %d, refused %d", w.Sent, w.Trace, w.Stats.Runs, w.Stats.Refused)
	for _, h := range w.coreH {
		for _, r := range h.Disk.Records() {
			s += fmt.Sprintf(" %d%s%x", r.Kind, r.Key, units.Mix(string(r.Data)))
		}
	}
	return s
}

// kept: once all is healed and quiet, every node can get a slot of every open worker.
func (w *World) kept() {
	if !w.whole() {
		return
	}
	w.rate = 0
	w.Run(w.Now.Add(25 * time.Second)) // whatever ran has ended, whatever was waited out is over
	for _, h := range w.edgeH {
		e := w.edges[h]
		tags, got := map[string]uint64{}, map[string]resultcode.Code{}
		for _, l := range w.listed {
			if !e.Ready || l.Draining || e.Evacuated[l.Zone] || !w.workers[l.ID].up {
				continue
			}
			name := "advice/" + l.ID
			e.tag++
			tags[name] = e.tag
			e.verdict[e.tag] = func(v admission.Decision) { got[name] = v.Code }
			w.Inject(h, func(now units.Time) message.Effects {
				return e.queue.Submit(now, admission.Request{Tag: e.tag, Policy: "knee", Candidates: []string{name}, MaxCandidates: 1, Deadline: now.Add(4 * time.Second),
					Coordinator: func(string) units.NodeID { return capacity.Coordinator(e.peers, name, l.Zone) }})
			})
		}
		w.Run(w.Now.Add(600 * time.Millisecond))
		for _, name := range message.SortedKeys(tags) {
			w.Inject(h, func(now units.Time) message.Effects { return e.queue.Done(now, tags[name], false) })
			if got[name] != resultcode.OK {
				w.fault("%s gets no slot of %s: %d", h.Addr, name, got[name])
			}
		}
	}
}

// Percentiles gives the median, the 99th of a hundred, and the most.
func Percentiles(l []time.Duration) string {
	if len(l) == 0 {
		return "none"
	}
	slices.Sort(l)
	at := func(q float64) time.Duration { return l[min(len(l)-1, int(q*float64(len(l))))].Round(time.Millisecond) }
	return fmt.Sprintf("%v / %v / %v of %d", at(0.5), at(0.99), at(1), len(l))
}
