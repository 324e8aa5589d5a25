package controller

import (
	"errors"
	"strings"
	"sync"
	"time"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/discovery"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/storage/wal"
	"seamshunt/internal/units"
)

// reloadReplica rebuilds the replica and the claims from the records on disk and discards the effects that are queued.
func (c *Controller) reloadReplica(walLog *wal.Log) {
	replica := register.New(c.Self, node.RandomID())
	if err := replica.Load(walLog.Records()); err != nil {
		c.Log.WithError(err).Error("the records on disk can't be loaded")
		return
	}
	c.replicaMu.Lock()
	defer c.replicaMu.Unlock()
	c.replica, c.claims = replica, idempotency.LoadRegistry(c.Self, c.Tasks.Now(), walLog.Records())
	c.syncer.StartCatchUp()
	c.disk.mu.Lock()
	c.disk.queue = nil // the queued messages depend on writes that aren't on disk
	c.disk.mu.Unlock()
}

// pollStatus holds the results of recent polls of the platform.
type pollStatus struct {
	mu        sync.Mutex
	at        units.Time
	successes uint64
	failures  uint64
	lastError string

	wasPausedSince func(since units.Time) bool
}

// firstPollDelay is the delay of the first poll after a start. While no list is known every controller polls once an
// interval, whatever its share: after a loss of the whole fleet nothing is served until a list arrives (docs/design.md,
// section 5).
const firstPollDelay = 50 * time.Millisecond

// pollLoop polls the platform for one pool's workers at this node's share of the fleet's rate (docs/design.md, section
// 5). It wakes up when the next poll can be due, and at least once an interval, since its share may have changed.
func (c *Controller) pollLoop(pool string) {
	interval := time.Duration(c.Settings.PollMs) * time.Millisecond
	schedule := discovery.Schedule{}
	timer := time.NewTimer(firstPollDelay)
	defer timer.Stop()
	for {
		select {
		case <-c.Tasks.Stopped():
			return
		case <-timer.C:
		}
		now := c.Tasks.Now()
		c.leaseMu.Lock()
		share := c.lease.Share(now)
		c.leaseMu.Unlock()
		c.catalogMu.Lock()
		known := len(c.catalog.List(pool)) > 0
		c.catalogMu.Unlock()
		if !c.draining.Load() && (schedule.Due(now, share, interval) || !known) {
			c.pollOnce(pool)
		}
		timer.Reset(schedule.Next(c.Tasks.Now(), share, interval))
	}
}

func (c *Controller) pollOnce(pool string) {
	now := c.Tasks.Now()
	c.catalogMu.Lock()
	query := c.catalog.NewQuery(now, pool, c.Self, time.Now().UnixMilli())
	known := len(c.catalog.List(pool))
	c.catalogMu.Unlock()
	workers, err := c.fetchWorkers(pool)
	switch {
	case err != nil:
	case len(workers) == 0 && known > 0:
		err = errors.New("an empty list is not believed")
	case c.pollStatus.wasPausedSince(query.StartedAt):
		err = errors.New("a list that waited while this process stood still is not believed")
	}
	c.pollStatus.mu.Lock()
	if c.pollStatus.at, c.pollStatus.lastError = c.Tasks.Now(), ""; err == nil {
		c.pollStatus.successes++
	} else {
		c.pollStatus.failures++
		c.pollStatus.lastError = err.Error()
	}
	c.pollStatus.mu.Unlock()
	if err != nil {
		c.Log.WithError(err).Warn("polling the platform for workers failed")
		return
	}
	c.catalogMu.Lock()
	data, changed := c.catalog.RecordAnswer(query, workers)
	c.catalogMu.Unlock()
	if changed {
		c.pushUpdates(c.Tasks.Now(), []register.ChosenValue{{Key: discovery.Key(pool, c.Self), Version: query.Version, Data: data}})
	}
}

// yieldLease passes the platform lease to another controller. It is called when this node can't reach the platform.
func (c *Controller) yieldLease() {
	now := c.Tasks.Now()
	c.leaseMu.Lock()
	var effects message.Effects
	if c.lease.Holds(now) {
		effects = c.lease.Yield(now)
	}
	c.leaseMu.Unlock()
	c.Deliver(effects)
}

// takeWorkerLists puts the worker lists among the updates into the catalog.
func (c *Controller) takeWorkerLists(now units.Time, updates []configpush.Item) {
	c.catalogMu.Lock()
	defer c.catalogMu.Unlock()
	for _, item := range updates {
		if !strings.HasPrefix(item.Key, discovery.KeyPrefix) {
			continue
		}
		if _, err := c.catalog.Apply(now, item.Key, item.Version, item.Data); err != nil {
			c.Errors.Add(1)
			c.Log.WithError(err).Error("a worker list can't be decoded")
		}
	}
}
