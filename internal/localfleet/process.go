package localfleet

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"seamshunt/internal/standin"
)

// Signal sends a signal to a process that runs.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	p, err := f.get(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("fleet: %s does not run", name)
	}
	p.frozen = s == syscall.SIGSTOP
	return p.cmd.Process.Signal(s)
}

// Wait waits for a process to end.
func (f *Fleet) Wait(name string, limit time.Duration) error {
	p, err := f.get(name)
	if err != nil {
		return err
	}
	if p.done == nil {
		return nil
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("fleet: %s did not end in %v", name, limit)
	}
}

// StopAll ends every process that this fleet started, by its id.
func (f *Fleet) StopAll() {
	for _, n := range f.order {
		_ = f.Signal(n, syscall.SIGCONT)
		_ = f.Signal(n, syscall.SIGKILL)
	}
	for _, n := range f.order {
		_ = f.Wait(n, 5*time.Second)
	}
	if f.ln != nil {
		f.ln.Close()
	}
	f.Tasks.Stop(5 * time.Second)
	f.Journal.Close()
}

// RecordEvent notes in the journal what the harness did.
func (f *Fleet) RecordEvent(how, target string) {
	if p, err := f.get(target); err == nil && p.kind == "router" {
		target = p.web // callers know a node by its address
	}
	f.Journal.Write(standin.Entry{Kind: "event", At: standin.Now(), How: how, Target: target})
}

// HTTPAddrs lists the web addresses of a kind, running or not.
func (f *Fleet) HTTPAddrs(kind string) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[string]string{}
	for n, p := range f.procs {
		if p.kind == kind {
			m[n] = p.web
		}
	}
	return m
}

// ErrNoController says that no controller answered.
var ErrNoController = errors.New("fleet: no controller answers")
