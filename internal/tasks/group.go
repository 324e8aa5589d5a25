// Package tasks starts and stops the process's goroutines; no other package starts any (docs/design.md, section 1).
package tasks

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/units"
)

// Group runs a process's goroutines and waits for them when it stops.
type Group struct {
	clock     clockwork.Clock
	startTime time.Time
	stop      chan struct{}
	stopOnce  sync.Once
	wg        sync.WaitGroup
	jobs      chan func()
}

// New returns a group with a pool of size goroutines for short jobs.
func New(clock clockwork.Clock, size int) *Group {
	g := &Group{clock: clock, startTime: clock.Now(), stop: make(chan struct{}), jobs: make(chan func(), 8192)}
	for range size {
		g.Go(func() {
			for {
				select {
				case <-g.stop:
					return
				case f := <-g.jobs:
					f()
				}
			}
		})
	}
	return g
}

// Now returns the time on the process's monotonic clock.
func (g *Group) Now() units.Time { return units.Time(g.clock.Since(g.startTime)) }

// Sleep waits for d on the process's clock.
func (g *Group) Sleep(d time.Duration) { g.clock.Sleep(d) }

// Wait waits for d on the process's clock, or until the context is done.
func (g *Group) Wait(ctx context.Context, d time.Duration) {
	t := g.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-ctx.Done():
	}
}

// Stopped returns a channel that is closed when the group is to stop.
func (g *Group) Stopped() <-chan struct{} { return g.stop }

// Go runs f in a goroutine of its own.
func (g *Group) Go(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

// Do queues a short job for the pool. It returns false if the queue is full.
func (g *Group) Do(f func()) bool {
	select {
	case g.jobs <- f:
		return true
	default:
		return false
	}
}

// Every runs f once per interval until the group stops.
func (g *Group) Every(interval time.Duration, f func(units.Time)) {
	g.Go(func() {
		t := g.clock.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-g.stop:
				return
			case <-t.Chan():
				f(g.Now())
			}
		}
	})
}

// Stop signals all goroutines to end and waits for them up to timeout.
func (g *Group) Stop(timeout time.Duration) {
	g.stopOnce.Do(func() { close(g.stop) })
	done := make(chan struct{})
	go func() { g.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
