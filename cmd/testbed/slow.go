package main

import (
	"syscall"
	"time"
)

// A slow machine's programs run for a short while and stand still for a longer one, again and again. They never stand still for as
// long as a freeze takes to be noticed.
const (
	slowRuns   = 20 * time.Millisecond
	slowStands = 180 * time.Millisecond
)

// slow has a process run slow until fast.
func (p *play) slow(process string) {
	stop := make(chan struct{})
	p.mu.Lock()
	p.slowed[process] = stop
	p.mu.Unlock()
	p.f.Tasks.Go(func() {
		for running := true; ; running = !running {
			signal, lasts := syscall.SIGCONT, slowRuns
			if !running {
				signal, lasts = syscall.SIGSTOP, slowStands
			}
			_ = p.f.Signal(process, signal) // it may have ended
			select {
			case <-stop:
				_ = p.f.Signal(process, syscall.SIGCONT)
				return
			case <-time.After(lasts):
			}
		}
	})
}

// fast has a process run as before.
func (p *play) fast(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stop := p.slowed[process]; stop != nil {
		close(stop)
		delete(p.slowed, process)
	}
}
