package tasks

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// A function that fails is reported and restarted after delays that grow up to a maximum; one that returns nil is not
// restarted.
func TestSupervise(t *testing.T) {
	clock := clockwork.NewFakeClock()
	group := New(clock, 0)
	defer group.Stop(0)
	runs, ends, results := make(chan time.Duration), make(chan error), make(chan error)
	group.Supervise(func() error {
		runs <- time.Duration(group.Now())
		return <-results
	}, func(err error) { ends <- err })
	broken, at := errors.New("broken"), time.Duration(0)
	for delay := minRestartDelay; ; delay = min(2*delay, maxRestartDelay) {
		if ran := <-runs; ran != at {
			t.Fatalf("run called at %v, want %v", ran, at)
		}
		results <- broken
		if err := <-ends; !errors.Is(err, broken) {
			t.Fatal(err)
		}
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(delay)
		if at += delay; delay == maxRestartDelay {
			break
		}
	}
	<-runs
	clock.Advance(2 * maxRestartDelay) // it ran for long: the next delay is short again
	at += 2 * maxRestartDelay
	results <- broken
	<-ends
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(minRestartDelay)
	if ran := <-runs; ran != at+minRestartDelay {
		t.Fatalf("run called at %v, want %v", ran, at+minRestartDelay)
	}
	results <- nil
	select {
	case <-runs:
		t.Error("restarted after it returned nil")
	default:
	}
}

// Stopping the group ends the wait for a restart.
func TestSuperviseStops(t *testing.T) {
	clock := clockwork.NewFakeClock()
	group := New(clock, 0)
	ended := make(chan struct{})
	group.Supervise(func() error { return errors.New("broken") }, func(error) { close(ended) })
	<-ended
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	group.Stop(10 * time.Second)
	select {
	case <-group.Stopped():
	default:
		t.Error("not stopped")
	}
}
