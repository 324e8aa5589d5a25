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

// reload rebuilds the machine from what the disk holds, and drops what the old one still wanted to say.
func (c *Controller) reload(a *wal.Log) {
	b := register.New(c.Self, node.RandomID())
	if err := b.Load(a.Records()); err != nil {
		c.Log.WithError(err).Error("the disk's records can't be read")
		return
	}
	c.replicaMu.Lock()
	defer c.replicaMu.Unlock()
	c.replica, c.claims = b, idempotency.LoadRegistry(c.Self, c.Tasks.Now(), a.Records())
	c.syncer.StartCatchUp()
	c.disk.mu.Lock()
	c.disk.queue = nil // what the old machine said rests on writes that the disk has not
	c.disk.mu.Unlock()
}

// poll is what the last questions to the platform gave.
type poll struct {
	mu   sync.Mutex
	at   units.Time
	ok   uint64
	bad  uint64
	last string

	stoodStill func(since units.Time) bool // whether this process did
}

// firstAsk is when a started node asks first. Until any list is known each asks once a gap, whatever its share: after
// a full loss nobody can serve before one has (design 5).
const firstAsk = 50 * time.Millisecond

// poller asks the platform for one pool's workers, at this node's share of the fleet's rate (design 5). It wakes when
// the next question can be due, and once a gap at the least, since its share may have changed.
func (c *Controller) poller(pool string) {
	gap := time.Duration(c.Settings.PollMs) * time.Millisecond
	turn := discovery.Schedule{}
	t := time.NewTimer(firstAsk)
	defer t.Stop()
	for {
		select {
		case <-c.Tasks.Stopped():
			return
		case <-t.C:
		}
		now := c.Tasks.Now()
		c.leaseMu.Lock()
		share := c.lease.Share(now)
		c.leaseMu.Unlock()
		c.catalogMu.Lock()
		known := len(c.catalog.List(pool)) > 0
		c.catalogMu.Unlock()
		if !c.leaving.Load() && (turn.Due(now, share, gap) || !known) {
			c.ask(pool)
		}
		t.Reset(turn.Next(c.Tasks.Now(), share, gap))
	}
}

func (c *Controller) ask(pool string) {
	now := c.Tasks.Now()
	c.catalogMu.Lock()
	a := c.catalog.NewQuery(now, pool, c.Self, time.Now().UnixMilli())
	known := len(c.catalog.List(pool))
	c.catalogMu.Unlock()
	l, err := c.list(pool)
	switch {
	case err != nil:
	case len(l) == 0 && known > 0:
		err = errors.New("an empty list is not believed")
	case c.polled.stoodStill(a.StartedAt):
		err = errors.New("a list that waited while this process stood still is not believed")
	}
	c.polled.mu.Lock()
	if c.polled.at, c.polled.last = c.Tasks.Now(), ""; err == nil {
		c.polled.ok++
	} else {
		c.polled.bad++
		c.polled.last = err.Error()
	}
	c.polled.mu.Unlock()
	if err != nil {
		c.Log.WithError(err).Warn("the platform gave no list")
		return
	}
	c.catalogMu.Lock()
	data, news := c.catalog.RecordAnswer(a, l)
	c.catalogMu.Unlock()
	if news {
		c.spread(c.Tasks.Now(), []register.ChosenValue{{Key: discovery.Key(pool, c.Self), Version: a.Version, Data: data}})
	}
}

// yield leaves the duty to others when this node can't reach the platform at all.
func (c *Controller) yield() {
	now := c.Tasks.Now()
	c.leaseMu.Lock()
	var out message.Effects
	if c.lease.Holds(now) {
		out = c.lease.Yield(now)
	}
	c.leaseMu.Unlock()
	c.Deliver(out)
}

// look takes the news that is about workers.
func (c *Controller) look(now units.Time, fresh []configpush.Item) {
	c.catalogMu.Lock()
	defer c.catalogMu.Unlock()
	for _, it := range fresh {
		if !strings.HasPrefix(it.Key, discovery.KeyPrefix) {
			continue
		}
		if _, err := c.catalog.Apply(now, it.Key, it.Version, it.Data); err != nil {
			c.Errors.Add(1)
			c.Log.WithError(err).Error("a worker list can't be read here")
		}
	}
}
