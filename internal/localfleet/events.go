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

// Event is one thing that the harness does at a time of the run.
type Event struct {
	At     time.Duration
	Verb   string
	Target string
	Arg    string
}

var verbs = []string{"kill", "stop", "start", "restart", "freeze", "thaw", "evacuate", "readmit", "leave", "drop", "mood",
	"wipe", "apply", "rate", "killall", "startall", "killzone", "startzone", "join", "storm", "cut", "heal", "lossy", "bounce", "release"}

// ParseEvents reads a list like "12:kill:n1,15:start:n1", of the usual verbs and more of the harness's own.
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
			return nil, fmt.Errorf("fleet: event %q: SECONDS:VERB[:NAME[:VALUE]] is wanted", x)
		}
		if !slices.Contains(verbs, p[1]) {
			return nil, fmt.Errorf("fleet: event %q: the verbs are %s", x, strings.Join(verbs, " "))
		}
		p = append(p, "", "")
		l = append(l, Event{At: time.Duration(at * float64(time.Second)), Verb: p[1], Target: p[2], Arg: p[3]})
	}
	slices.SortStableFunc(l, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return l, nil
}

// Execute carries one event out and notes it in the journal.
func (f *Fleet) Execute(e Event, t *Traffic) error {
	if e.Verb != "cut" && e.Verb != "heal" { // these note themselves, by the name that was cut off
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
		return f.leave(e)
	case "mood":
		f.Platform.SetMood(e.Target)
	case "wipe":
		return f.wipe(e.Target)
	case "apply":
		b, err := os.ReadFile(e.Target)
		if err != nil {
			return err
		}
		return f.ApplyConfig(b)
	case "storm":
		return f.storm(e.Target)
	case "rate":
		r, err := strconv.ParseFloat(e.Target, 64)
		if err != nil {
			return err
		}
		t.SetRate(r)
	case "cut", "lossy", "heal":
		return f.part(e)
	case "bounce":
		return f.bounce(e.Target)
	case "release":
		return f.release()
	case "killall", "startall", "killzone", "startzone":
		return f.all(e.Verb, e.Target)
	case "join":
		return f.join(e.Target, e.Arg)
	}
	return nil
}

// join starts one more worker, cold.
func (f *Fleet) join(name, zone string) error {
	as, err := ports(1)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.addWorker(name, zone, as[0], 0)
	f.mu.Unlock()
	return f.Start(name)
}

// storm has two operators race each other with so many configurations, alike but for their last bytes.
func (f *Fleet) storm(count string) error {
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
				// A conflict is the race's own outcome; what counts is what was acknowledged.
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

func (f *Fleet) leave(e Event) error {
	w, ok := f.Platform.Get(f.Deployment.Pool, e.Target)
	if !ok {
		return fmt.Errorf("fleet: no worker %s", e.Target)
	}
	if e.Verb == "drop" {
		f.Platform.Remove(f.Deployment.Pool, e.Target)
		return nil
	}
	w.Draining = true
	f.Platform.Set(f.Deployment.Pool, w)
	return nil
}

// wipe replaces a core machine by an empty one at a new address.
func (f *Fleet) wipe(name string) error {
	_ = f.kill(name)
	p, err := f.get(name)
	if err != nil {
		return err
	}
	as, err := ports(2)
	if err != nil {
		return err
	}
	p.addr, p.web = as[0], as[1]
	p.data += ".next"
	if err := f.boot(p); err != nil {
		return err
	}
	return f.Start(name)
}

// all ends or starts every process of the product at once, or those of one zone; workers are not part of it.
func (f *Fleet) all(verb, zone string) error {
	kill := strings.HasPrefix(verb, "kill")
	mine := func(p *proc) bool { return p.kind != "worker" && (zone == "" || p.zone == zone) }
	for _, n := range f.order {
		p, err := f.get(n)
		if err != nil {
			return err
		}
		if !mine(p) {
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
		for _, n := range f.order {
			if p, _ := f.get(n); mine(p) {
				if err := f.Wait(n, 5*time.Second); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
