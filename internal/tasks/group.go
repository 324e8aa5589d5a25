// Package tasks is the one place that starts goroutines (design 1).
package tasks

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/units"
)

// Group runs a process's work and waits for it at the end.
type Group struct {
	clock clockwork.Clock
	zero  time.Time
	stop  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup
	jobs  chan func()
}

// New gives a group with a pool of goroutines for short jobs.
func New(clock clockwork.Clock, size int) *Group {
	c := &Group{clock: clock, zero: clock.Now(), stop: make(chan struct{}), jobs: make(chan func(), 8192)}
	for range size {
		c.Go(func() {
			for {
				select {
				case <-c.stop:
					return
				case f := <-c.jobs:
					f()
				}
			}
		})
	}
	return c
}

// Now reads the process's monotonic clock.
func (c *Group) Now() units.Time { return units.Time(c.clock.Since(c.zero)) }

// Sleep waits on the process's clock.
func (c *Group) Sleep(d time.Duration) { c.clock.Sleep(d) }

// Wait waits on the process's clock, or until the context is done.
func (c *Group) Wait(ctx context.Context, d time.Duration) {
	t := c.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-ctx.Done():
	}
}

// Stopped is closed when the group is to end.
func (c *Group) Stopped() <-chan struct{} { return c.stop }

// Go starts a long piece of work.
func (c *Group) Go(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// Do hands a short job to the pool; it says false when the pool is swamped.
func (c *Group) Do(f func()) bool {
	select {
	case c.jobs <- f:
		return true
	default:
		return false
	}
}

// Every runs f again and again until the group stops.
func (c *Group) Every(gap time.Duration, f func(units.Time)) {
	c.Go(func() {
		t := c.clock.NewTicker(gap)
		defer t.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-t.Chan():
				f(c.Now())
			}
		}
	})
}

// Stop tells everyone and waits up to limit.
func (c *Group) Stop(limit time.Duration) {
	c.once.Do(func() { close(c.stop) })
	done := make(chan struct{})
	go func() { c.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(limit):
	}
}
