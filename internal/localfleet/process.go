package localfleet

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"seamshunt/internal/standin"
)

// Signal sends a signal to a running process.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	p, err := f.lookup(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("localfleet: %s is not running", name)
	}
	p.paused = s == syscall.SIGSTOP
	return p.cmd.Process.Signal(s)
}

// Wait waits for a process to end.
func (f *Fleet) Wait(name string, limit time.Duration) error {
	p, err := f.lookup(name)
	if err != nil {
		return err
	}
	if p.exited == nil {
		return nil
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("localfleet: %s did not end in %v", name, limit)
	}
}

// StopAll kills the processes that this fleet started, each by its process id.
func (f *Fleet) StopAll() {
	for _, n := range f.startOrder {
		_ = f.Signal(n, syscall.SIGCONT)
		_ = f.Signal(n, syscall.SIGKILL)
	}
	for _, n := range f.startOrder {
		_ = f.Wait(n, 5*time.Second)
	}
	if f.listener != nil {
		f.listener.Close()
	}
	f.Tasks.Stop(5 * time.Second)
	f.Journal.Close()
}

// RecordEvent records an action of the harness in the journal.
func (f *Fleet) RecordEvent(how, target string) {
	if p, err := f.lookup(target); err == nil && p.kind == "router" {
		target = p.httpAddr // clients know a router by its address
	}
	f.Journal.Write(standin.Entry{Kind: "event", At: standin.Now(), How: how, Target: target})
}

// HTTPAddrs returns the HTTP addresses of all processes of a kind by name, running or not.
func (f *Fleet) HTTPAddrs(kind string) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[string]string{}
	for n, p := range f.processes {
		if p.kind == kind {
			m[n] = p.httpAddr
		}
	}
	return m
}

// ErrNoController is returned if no controller answered.
var ErrNoController = errors.New("localfleet: no controller answers")
