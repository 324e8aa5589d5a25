package localfleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"seamshunt/internal/partition"
	"seamshunt/internal/standin"
)

// lossRule returns the packet loss, in percent, from one process to another.
type lossRule func(from, to *process) int

func (f *Fleet) partitionFile(name string) string { return filepath.Join(f.Dir, name+".cuts") }

// platformProcess names the platform in partitions.
const platformProcess = "platform"

// setNetworkFault adds a network partition or packet loss, or heals them all. Clients are not affected.
func (f *Fleet) setNetworkFault(e Event) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Verb == "heal" {
		for _, n := range f.partitioned {
			f.Journal.Write(standin.Entry{Kind: "event", At: standin.Now(), How: "heal", Target: n})
		}
		f.lossRules, f.partitioned = nil, nil
		return f.writePartitions()
	}
	if e.Verb == "lossy" {
		n, err := strconv.Atoi(e.Target)
		if err != nil {
			return err
		}
		f.lossRules = append(f.lossRules, func(_, to *process) int {
			if to.kind == "worker" || to.kind == platformProcess {
				return 0 // packet loss applies only to messages between routers and controllers
			}
			return n
		})
		return f.writePartitions()
	}
	f.partitioned = append(f.partitioned, e.Target)
	f.Journal.Write(standin.Entry{Kind: "event", At: standin.Now(), How: "cut", Target: e.Target})
	inside := f.sideOf(e.Target)
	f.lossRules = append(f.lossRules, func(from, to *process) int {
		lost := inside(from) != inside(to)
		switch {
		case e.Arg == platformProcess:
			lost = inside(from) && to.kind == platformProcess
		case e.Target == "core":
			lost = lost && from.kind == "controller" && to.kind == "controller"
		case e.Target == "control":
			lost = lost && to.kind != "worker" && to.kind != platformProcess
		case to.kind == platformProcess:
			lost = lost && !f.isZone(e.Target) // the platform is outside the zones
		}
		if lost && (e.Arg != "out" || inside(from)) && (e.Arg != "in" || inside(to)) {
			return 100
		}
		return 0
	})
	return f.writePartitions()
}

func (f *Fleet) isZone(name string) bool {
	return slices.ContainsFunc(f.Deployment.Machines, func(m Machine) bool { return m.Zone == name })
}

// sideOf returns a test for the processes on one side of a partition: a zone, the first half of the controllers, all of them,
// or one process.
func (f *Fleet) sideOf(name string) func(*process) bool {
	var controllers []string
	for _, n := range f.startOrder {
		if f.processes[n].kind == "controller" {
			controllers = append(controllers, n)
		}
	}
	switch {
	case name == "core":
		return func(p *process) bool { return slices.Contains(controllers[:len(controllers)/2], p.name) }
	case name == "control":
		return func(p *process) bool { return p.kind == "controller" }
	case f.isZone(name):
		return func(p *process) bool { return p.zone == name }
	}
	return func(p *process) bool { return p.name == name }
}

// writePartitions writes each process's outbound loss to its partition file. Callers hold f.mu.
func (f *Fleet) writePartitions() error {
	if !partition.Enabled {
		return errors.New("localfleet: these programs can't be partitioned: build them with -tags cuts")
	}
	to := []*process{{name: platformProcess, kind: platformProcess, httpAddr: f.listener.Addr().String()}}
	for _, n := range f.startOrder {
		to = append(to, f.processes[n])
	}
	for _, n := range f.startOrder {
		var b strings.Builder
		for _, p := range to {
			lost := 0
			for _, rule := range f.lossRules {
				lost = max(lost, rule(f.processes[n], p))
			}
			for _, a := range []string{p.addr, p.httpAddr} {
				if lost > 0 && a != "" && p.name != n {
					fmt.Fprintln(&b, a, lost)
				}
			}
		}
		next := f.partitionFile(n) + ".next"
		if err := os.WriteFile(next, []byte(b.String()), 0o644); err != nil {
			return err
		}
		if err := os.Rename(next, f.partitionFile(n)); err != nil {
			return err
		}
	}
	return nil
}

// CheckEvents returns an error if an event has an invalid value or a target that is not in this deployment. It runs before
// any process starts.
func (d *Deployment) CheckEvents(l []Event) error {
	names, zones, workers := map[string]bool{}, map[string]bool{}, 0
	for _, m := range d.Machines {
		names[m.Name], zones[m.Zone] = true, true
	}
	for _, w := range d.Workers {
		workers += w.Count
		zones[w.Zone] = true
	}
	for k := range workers {
		names[fmt.Sprintf("w%02d", k+1)] = true
	}
	for _, e := range l {
		var err error
		switch e.Verb {
		case "kill", "stop", "start", "restart", "freeze", "thaw", "wipe", "leave", "drop", "bounce":
			if !names[e.Target] {
				err = fmt.Errorf("nothing is called %q", e.Target)
			}
		case "evacuate", "readmit", "killzone", "startzone":
			if !zones[e.Target] {
				err = fmt.Errorf("there is no zone %q", e.Target)
			}
		case "join":
			if names[e.Target] = true; !zones[e.Arg] {
				err = fmt.Errorf("there is no zone %q", e.Arg)
			}
		case "cut":
			if !names[e.Target] && !zones[e.Target] && e.Target != "core" && e.Target != "control" {
				err = fmt.Errorf("%q is no process, no zone, nor core or control", e.Target)
			}
			if !slices.Contains([]string{"", "out", "in", platformProcess}, e.Arg) {
				err = fmt.Errorf("a cut is whole, or out, in, or platform; not %q", e.Arg)
			}
		case "lossy":
			if n, bad := strconv.Atoi(e.Target); bad != nil || n < 0 || n > 99 {
				err = fmt.Errorf("lossy wants a percentage below 100, not %q", e.Target)
			}
		case "rate":
			if x, bad := strconv.ParseFloat(e.Target, 64); bad != nil || x <= 0 {
				err = fmt.Errorf("rate wants a number above 0, not %q", e.Target)
			}
		case "mood":
			if !slices.Contains([]string{"", "refuse", "empty", "bad", "slow", "old"}, e.Target) {
				err = fmt.Errorf("the platform knows no mood %q", e.Target)
			}
		}
		if err == nil && (e.Verb == "cut" || e.Verb == "lossy") && !partition.Enabled {
			err = errors.New("these programs can't be partitioned: build them with -tags cuts")
		}
		if err != nil {
			return fmt.Errorf("event %s at %v: %w", e.Verb, e.At, err)
		}
	}
	return nil
}

// restartCold kills a worker and starts it at the same address; it has to warm up again.
func (f *Fleet) restartCold(name string) error {
	if err := f.kill(name); err != nil {
		return err
	}
	f.Platform.RecordRestart(name)
	f.RecordEvent("born", name)
	return f.Start(name)
}

// replaceAllWorkers replaces all workers, one a second: a worker with a new name joins, and the old one is marked as draining,
// and removed from the list once all its streams must have ended.
func (f *Fleet) replaceAllWorkers() error {
	var l []string
	f.mu.Lock()
	for _, n := range f.startOrder {
		if f.processes[n].kind == "worker" {
			l = append(l, n)
		}
	}
	f.mu.Unlock()
	f.Tasks.Go(func() {
		for _, n := range l {
			if err := f.replaceWorker(n); err != nil {
				f.RecordEvent("release-failed", n+": "+err.Error())
			}
			time.Sleep(time.Second)
		}
	})
	return nil
}

func (f *Fleet) replaceWorker(name string) error {
	p, err := f.lookup(name)
	if err != nil {
		return err
	}
	if err := f.joinWorker(name+"b", p.zone); err != nil {
		return err
	}
	f.RecordEvent("leave", name)
	if err := f.drainOrRemove(Event{Verb: "leave", Target: name}); err != nil {
		return err
	}
	f.Tasks.Go(func() {
		time.Sleep(25 * time.Second) // longer than any stream lasts
		_ = f.drainOrRemove(Event{Verb: "drop", Target: name})
	})
	return nil
}
