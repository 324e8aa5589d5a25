package controller

import (
	"slices"
	"testing"

	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/config"
	"seamshunt/internal/testutil"
	"seamshunt/internal/units"
)

// workerIDs returns the IDs of the workers that a controller knows.
func workerIDs(c *Controller) (l []string) {
	for _, w := range c.knownWorkers(allPools) {
		l = append(l, w.ID)
	}
	return l
}

// DRAIN: the platform's list waited in the socket of a paused controller. Meanwhile a worker left, which the other
// controllers had learned, but the old list still showed it as ready.
func TestListFromBeforeAPauseBringsNoWorkerBack(t *testing.T) {
	t.Parallel()
	lists := make(chan []config.Worker)
	siteAdapter := testAdapter()
	siteAdapter.Workers = func(func(string) (int, []byte, error)) ([]config.Worker, error) { return <-lists, nil }
	controllers := startSeededControllers(t, 3, siteAdapter)
	leaves, stays := config.Worker{ID: "w1", Addr: "a1", Service: "s", Slots: 1}, config.Worker{ID: "w2", Addr: "a2", Service: "s", Slots: 1}
	poll := func(c *Controller, list ...config.Worker) {
		answered := make(chan struct{})
		c.Tasks.Go(func() { c.pollOnce(allPools); close(answered) })
		lists <- list
		<-answered
	}
	known := func(want ...string) {
		t.Helper()
		for _, c := range controllers {
			testutil.WaitUntil(t, "all know the list", func() bool { return slices.Equal(workerIDs(c), want) })
		}
	}
	poll(controllers[0], leaves, stays)
	known("w1", "w2")
	version, _ := controllers[0].knownValue(discovery.Key(allPools, controllers[0].Self))
	started := make(chan struct{})
	siteAdapter.Workers = func(func(string) (int, []byte, error)) ([]config.Worker, error) {
		started <- struct{}{}
		return <-lists, nil
	}
	answered := make(chan struct{})
	controllers[0].Tasks.Go(func() { controllers[0].pollOnce(allPools); close(answered) })
	<-started
	siteAdapter.Workers = func(func(string) (int, []byte, error)) ([]config.Worker, error) { return []config.Worker{stays}, nil }
	controllers[1].pollOnce(allPools)
	known("w2")
	controllers[0].pollStatus.wasPausedSince = func(units.Time) bool { return true }
	lists <- []config.Worker{leaves, stays}
	<-answered
	if got, _ := controllers[0].knownValue(discovery.Key(allPools, controllers[0].Self)); got != version {
		t.Errorf("the old list was pushed as an update, with version %d after %d", got, version)
	}
	if got := controllers[0].pollStatus.failures; got != 1 {
		t.Errorf("%d lists were rejected, want 1", got)
	}
}
