package localfleet

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Event is an action of the harness at a time of the run.
type Event struct {
	At     time.Duration
	Verb   string
	Target string
	Arg    string
}

// verbs are the actions of events.
var verbs = []string{"kill", "stop", "start", "restart", "freeze", "thaw", "evacuate", "readmit", "leave", "drop", "mood",
	"wipe", "apply", "rate", "killall", "startall", "killzone", "startzone", "join", "storm", "cut", "heal", "lossy", "bounce", "release"}

// ParseEvents reads a list like "12:kill:n1,15:start:n1", with the usual verbs and the additional ones in more.
func ParseEvents(s string, more ...string) ([]Event, error) {
	verbs := append(slices.Clone(verbs), more...)
	var l []Event
	for _, x := range strings.Split(s, ",") {
		if x = strings.TrimSpace(x); x == "" {
			continue
		}
		p := strings.SplitN(x, ":", 4)
		at, err := strconv.ParseFloat(p[0], 64)
		if err != nil || len(p) < 2 || at < 0 {
			return nil, fmt.Errorf("localfleet: event %q: SECONDS:VERB[:NAME[:VALUE]] is wanted", x)
		}
		if !slices.Contains(verbs, p[1]) {
			return nil, fmt.Errorf("localfleet: event %q: the verbs are %s", x, strings.Join(verbs, " "))
		}
		p = append(p, "", "")
		l = append(l, Event{At: time.Duration(at * float64(time.Second)), Verb: p[1], Target: p[2], Arg: p[3]})
	}
	slices.SortStableFunc(l, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return l, nil
}

// Execute carries out one event and records it in the journal.
func (f *Fleet) Execute(e Event, t *Traffic) error {
	if e.Verb != "cut" && e.Verb != "heal" { // recorded by setNetworkFault, under the name of the partitioned side
		f.RecordEvent(e.Verb, e.Target)
	}
	switch e.Verb {
	case "kill":
		return f.kill(e.Target)
	case "stop":
		return f.Signal(e.Target, syscall.SIGTERM)
	case "start":
		return f.Start(e.Target)
	case "restart":
		if err := f.Signal(e.Target, syscall.SIGTERM); err != nil {
			return err
		}
		if err := f.Wait(e.Target, 30*time.Second); err != nil {
			return err
		}
		return f.Start(e.Target)
	case "freeze":
		return f.Signal(e.Target, syscall.SIGSTOP)
	case "thaw":
		return f.Signal(e.Target, syscall.SIGCONT)
	case "evacuate", "readmit":
		_, err := f.WriteKey("/v1/zones/"+e.Target, fmt.Appendf(nil, `{"evacuated":%v}`, e.Verb == "evacuate"), 10*time.Second)
		f.RecordEvent(e.Verb+"-acknowledged", e.Target)
		return err
	case "leave", "drop":
		return f.drainOrRemove(e)
	case "mood":
		f.Platform.SetFailureMode(e.Target)
	case "wipe":
		return f.replaceController(e.Target)
	case "apply":
		b, err := os.ReadFile(e.Target)
		if err != nil {
			return err
		}
		return f.ApplyConfig(b)
	case "storm":
		return f.raceConfigurations(e.Target)
	case "rate":
		r, err := strconv.ParseFloat(e.Target, 64)
		if err != nil {
			return err
		}
		t.SetRate(r)
	case "cut", "lossy", "heal":
		return f.setNetworkFault(e)
	case "bounce":
		return f.restartCold(e.Target)
	case "release":
		return f.replaceAllWorkers()
	case "killall", "startall", "killzone", "startzone":
		return f.killOrStartAll(e.Verb, e.Target)
	case "join":
		return f.joinWorker(e.Target, e.Arg)
	}
	return nil
}

// joinWorker starts an additional worker, which has to warm up.
func (f *Fleet) joinWorker(name, zone string) error {
	as, err := freeAddrs(1)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.addWorker(name, zone, as[0], 0)
	f.mu.Unlock()
	return f.Start(name)
}

// raceConfigurations has two operators race with count configurations each, which differ only in trailing spaces.
func (f *Fleet) raceConfigurations(count string) error {
	n, err := strconv.Atoi(count)
	if err != nil {
		return err
	}
	b, err := f.Deployment.ConfigBytes()
	if err != nil {
		return err
	}
	done := make(chan error, 2)
	for side := range 2 {
		f.Tasks.Go(func() {
			for i := range n {
				// Conflicts are expected in the race; only acknowledged configurations are checked.
				_ = f.ApplyConfig(append(slices.Clone(b), strings.Repeat(" ", 1+2*i+side)...))
			}
			done <- nil
		})
	}
	return errors.Join(<-done, <-done)
}

func (f *Fleet) kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	return f.Wait(name, 5*time.Second)
}

func (f *Fleet) drainOrRemove(e Event) error {
	w, ok := f.Platform.FindWorker(f.Deployment.Pool, e.Target)
	if !ok {
		return fmt.Errorf("localfleet: no worker %s", e.Target)
	}
	if e.Verb == "drop" {
		f.Platform.RemoveWorker(f.Deployment.Pool, e.Target)
		return nil
	}
	w.Draining = true
	f.Platform.SetWorker(f.Deployment.Pool, w)
	return nil
}

// replaceController replaces a controller by one with an empty disk at a new address.
func (f *Fleet) replaceController(name string) error {
	_ = f.kill(name)
	p, err := f.lookup(name)
	if err != nil {
		return err
	}
	as, err := freeAddrs(2)
	if err != nil {
		return err
	}
	p.addr, p.httpAddr = as[0], as[1]
	p.dataDir += ".next"
	if err := f.writeSettings(p); err != nil {
		return err
	}
	return f.Start(name)
}

// killOrStartAll kills or starts all routers and controllers at once, or those of one zone; workers are left alone.
func (f *Fleet) killOrStartAll(verb, zone string) error {
	kill := strings.HasPrefix(verb, "kill")
	selected := func(p *process) bool { return p.kind != "worker" && (zone == "" || p.zone == zone) }
	for _, n := range f.startOrder {
		p, err := f.lookup(n)
		if err != nil {
			return err
		}
		if !selected(p) {
			continue
		}
		if kill {
			if zone != "" {
				f.RecordEvent("kill", n)
			}
			_ = f.Signal(n, syscall.SIGKILL)
		} else if err := f.Start(n); err != nil {
			return err
		}
	}
	if kill {
		for _, n := range f.startOrder {
			if p, _ := f.lookup(n); selected(p) {
				if err := f.Wait(n, 5*time.Second); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
