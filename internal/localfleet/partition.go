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

	"seamshunt/internal/shield"
	"seamshunt/internal/standin"
)

// parting says how much of what one process sends to another is lost, in percent.
type parting func(from, to *proc) int

func (f *Fleet) cutFile(name string) string { return filepath.Join(f.Dir, name+".cuts") }

// platformProc stands for the platform in partings.
const platformProc = "platform"

// part cuts the net, makes it lossy, or heals it. Callers are outside of it.
func (f *Fleet) part(e Event) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Verb == "heal" {
		for _, n := range f.cutOn {
			f.Journal.Write(standin.Entry{Kind: "event", At: standin.Now(), How: "heal", Target: n})
		}
		f.parted, f.cutOn = nil, nil
		return f.writeCuts()
	}
	if e.Verb == "lossy" {
		n, err := strconv.Atoi(e.Target)
		if err != nil {
			return err
		}
		f.parted = append(f.parted, func(_, to *proc) int {
			if to.kind == "worker" || to.kind == platformProc {
				return 0 // only notes are lost singly
			}
			return n
		})
		return f.writeCuts()
	}
	f.cutOn = append(f.cutOn, e.Target)
	f.Journal.Write(standin.Entry{Kind: "event", At: standin.Now(), How: "cut", Target: e.Target})
	in := f.side(e.Target)
	f.parted = append(f.parted, func(from, to *proc) int {
		cut := in(from) != in(to)
		switch {
		case e.Arg == platformProc:
			cut = in(from) && to.kind == platformProc
		case e.Target == "core":
			cut = cut && from.kind == "controller" && to.kind == "controller"
		case e.Target == "control":
			cut = cut && to.kind != "worker" && to.kind != platformProc
		case to.kind == platformProc:
			cut = cut && !f.zone(e.Target) // the platform is outside the zones
		}
		if cut && (e.Arg != "out" || in(from)) && (e.Arg != "in" || in(to)) {
			return 100
		}
		return 0
	})
	return f.writeCuts()
}

func (f *Fleet) zone(name string) bool {
	return slices.ContainsFunc(f.Deployment.Machines, func(m Machine) bool { return m.Zone == name })
}

// side says which processes stand on one side of a cut: a zone, the first half of the core, all of it, or one process.
func (f *Fleet) side(name string) func(*proc) bool {
	var core []string
	for _, n := range f.order {
		if f.procs[n].kind == "controller" {
			core = append(core, n)
		}
	}
	switch {
	case name == "core":
		return func(p *proc) bool { return slices.Contains(core[:len(core)/2], p.name) }
	case name == "control":
		return func(p *proc) bool { return p.kind == "controller" }
	case f.zone(name):
		return func(p *proc) bool { return p.zone == name }
	}
	return func(p *proc) bool { return p.name == name }
}

// writeCuts tells every process what gets lost on its way out; f.mu is held.
func (f *Fleet) writeCuts() error {
	if !shield.Cuts {
		return errors.New("fleet: these programs can't be cut off: build them with -tags cuts")
	}
	to := []*proc{{name: platformProc, kind: platformProc, web: f.ln.Addr().String()}}
	for _, n := range f.order {
		to = append(to, f.procs[n])
	}
	for _, n := range f.order {
		var b strings.Builder
		for _, p := range to {
			lost := 0
			for _, g := range f.parted {
				lost = max(lost, g(f.procs[n], p))
			}
			for _, a := range []string{p.addr, p.web} {
				if lost > 0 && a != "" && p.name != n {
					fmt.Fprintln(&b, a, lost)
				}
			}
		}
		next := f.cutFile(n) + ".next"
		if err := os.WriteFile(next, []byte(b.String()), 0o644); err != nil {
			return err
		}
		if err := os.Rename(next, f.cutFile(n)); err != nil {
			return err
		}
	}
	return nil
}

// CheckEvents names what events ask for that this deployment has not; nothing has started then.
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
			if !slices.Contains([]string{"", "out", "in", platformProc}, e.Arg) {
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
		if err == nil && (e.Verb == "cut" || e.Verb == "lossy") && !shield.Cuts {
			err = errors.New("these programs can't be cut off: build them with -tags cuts")
		}
		if err != nil {
			return fmt.Errorf("event %s at %v: %w", e.Verb, e.At, err)
		}
	}
	return nil
}

// bounce starts a worker again in its place, cold.
func (f *Fleet) bounce(name string) error {
	if err := f.kill(name); err != nil {
		return err
	}
	f.Platform.Born(name)
	f.RecordEvent("born", name)
	return f.Start(name)
}

// release replaces all workers, one a second: a new one joins under another name, and the old one is marked, and
// dropped from the list once no stream can be left on it.
func (f *Fleet) release() error {
	var l []string
	f.mu.Lock()
	for _, n := range f.order {
		if f.procs[n].kind == "worker" {
			l = append(l, n)
		}
	}
	f.mu.Unlock()
	f.Tasks.Go(func() {
		for _, n := range l {
			if err := f.replace(n); err != nil {
				f.RecordEvent("release-failed", n+": "+err.Error())
			}
			time.Sleep(time.Second)
		}
	})
	return nil
}

func (f *Fleet) replace(name string) error {
	p, err := f.get(name)
	if err != nil {
		return err
	}
	if err := f.join(name+"b", p.zone); err != nil {
		return err
	}
	f.RecordEvent("leave", name)
	if err := f.leave(Event{Verb: "leave", Target: name}); err != nil {
		return err
	}
	f.Tasks.Go(func() {
		time.Sleep(25 * time.Second) // longer than any stream lasts
		_ = f.leave(Event{Verb: "drop", Target: name})
	})
	return nil
}
