package main

import (
	"syscall"
	"time"
)

// A slow machine's programs alternate between a short running phase and a longer pause. A pause is too short to be noticed as a
// suspension of the process.
const (
	slowRunTime   = 20 * time.Millisecond
	slowPauseTime = 180 * time.Millisecond
)

// slowDown makes a process run slowly until restoreSpeed.
func (p *siteRun) slowDown(process string) {
	stop := make(chan struct{})
	p.mu.Lock()
	p.stopSlow[process] = stop
	p.mu.Unlock()
	p.fleet.Tasks.Go(func() {
		for running := true; ; running = !running {
			signal, duration := syscall.SIGCONT, slowRunTime
			if !running {
				signal, duration = syscall.SIGSTOP, slowPauseTime
			}
			_ = p.fleet.Signal(process, signal) // it may have ended
			select {
			case <-stop:
				_ = p.fleet.Signal(process, syscall.SIGCONT)
				return
			case <-time.After(duration):
			}
		}
	})
}

// restoreSpeed ends the slow phase of a process.
func (p *siteRun) restoreSpeed(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stop := p.stopSlow[process]; stop != nil {
		close(stop)
		delete(p.stopSlow, process)
	}
}
