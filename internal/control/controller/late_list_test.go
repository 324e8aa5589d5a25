package controller

import (
	"slices"
	"testing"

	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/config"
	"seamshunt/internal/testutil"
	"seamshunt/internal/units"
)

// ids lists the workers that a controller knows.
func ids(c *Controller) (l []string) {
	for _, w := range c.listed(allPools) {
		l = append(l, w.ID)
	}
	return l
}

// DRAIN: the platform's list waited for a controller that stood still. A worker left meanwhile, as the others had learned, and stood on
// that old list as ready.
func TestListFromBeforeAFreezeBringsNoWorkerBack(t *testing.T) {
	t.Parallel()
	lists := make(chan []config.Worker)
	book := toyBook()
	book.Workers = func(func(string) (int, []byte, error)) ([]config.Worker, error) { return <-lists, nil }
	cs := grownCore(t, 3, book)
	leaves, stays := config.Worker{ID: "w1", Addr: "a1", Service: "s", Slots: 1}, config.Worker{ID: "w2", Addr: "a2", Service: "s", Slots: 1}
	asks := func(c *Controller, list ...config.Worker) {
		answered := make(chan struct{})
		c.Tasks.Go(func() { c.ask(allPools); close(answered) })
		lists <- list
		<-answered
	}
	known := func(want ...string) {
		t.Helper()
		for _, c := range cs {
			testutil.Until(t, "all know the list", func() bool { return slices.Equal(ids(c), want) })
		}
	}
	asks(cs[0], leaves, stays)
	known("w1", "w2")
	number, _ := cs[0].heardOf(discovery.Key(allPools, cs[0].Self))
	began := make(chan struct{})
	book.Workers = func(func(string) (int, []byte, error)) ([]config.Worker, error) {
		began <- struct{}{}
		return <-lists, nil
	}
	answered := make(chan struct{})
	cs[0].Tasks.Go(func() { cs[0].ask(allPools); close(answered) })
	<-began
	book.Workers = func(func(string) (int, []byte, error)) ([]config.Worker, error) { return []config.Worker{stays}, nil }
	cs[1].ask(allPools)
	known("w2")
	cs[0].polled.stoodStill = func(units.Time) bool { return true }
	lists <- []config.Worker{leaves, stays}
	<-answered
	if n, _ := cs[0].heardOf(discovery.Key(allPools, cs[0].Self)); n != number {
		t.Errorf("the old list is news, under number %d after %d", n, number)
	}
	if n := cs[0].polled.bad; n != 1 {
		t.Errorf("%d lists were not believed", n)
	}
}
