package tasks

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// A part that ends is told of and run again, after pauses that grow up to a bound; one that ends without an error is over.
func TestSupervise(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock, 0)
	defer c.Stop(0)
	runs, ends, results := make(chan time.Duration), make(chan error), make(chan error)
	c.Supervise(func() error {
		runs <- time.Duration(c.Now())
		return <-results
	}, func(err error) { ends <- err })
	broken, at := errors.New("broken"), time.Duration(0)
	for pause := pauseLeast; ; pause = min(2*pause, pauseMost) {
		if ran := <-runs; ran != at {
			t.Fatalf("it ran at %v, want %v", ran, at)
		}
		results <- broken
		if err := <-ends; !errors.Is(err, broken) {
			t.Fatal(err)
		}
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(pause)
		if at += pause; pause == pauseMost {
			break
		}
	}
	<-runs
	clock.Advance(2 * pauseMost) // it lasted: the next pause is short again
	at += 2 * pauseMost
	results <- broken
	<-ends
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(pauseLeast)
	if ran := <-runs; ran != at+pauseLeast {
		t.Fatalf("it ran at %v, want %v", ran, at+pauseLeast)
	}
	results <- nil
	select {
	case <-runs:
		t.Error("it ran again after its end")
	default:
	}
}

// The group's end ends a pause.
func TestSuperviseStops(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock, 0)
	ended := make(chan struct{})
	c.Supervise(func() error { return errors.New("broken") }, func(error) { close(ended) })
	<-ended
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	c.Stop(10 * time.Second)
	select {
	case <-c.Stopped():
	default:
		t.Error("not stopped")
	}
}
