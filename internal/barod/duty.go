package barod

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"seamshunt/internal/almanac"
	"seamshunt/internal/barograph"
	"seamshunt/internal/bulletin"
	"seamshunt/internal/forecast"
	"seamshunt/internal/nephoscope"
	"seamshunt/internal/screen"
	"seamshunt/internal/station"
	"seamshunt/internal/telegraph"
	"seamshunt/internal/tower"
	"seamshunt/internal/units"
)

// reload rebuilds the machine from what the disk holds, and drops what the old one still wanted to say.
func (c *Barometer) reload(a *almanac.Almanac) {
	b := barograph.New(c.Self, tower.Random())
	if err := b.Load(a.Live()); err != nil {
		c.Log.WithError(err).Error("the disk's records can't be read")
		return
	}
	c.baroMu.Lock()
	defer c.baroMu.Unlock()
	c.baro, c.roll = b, screen.LoadRoll(c.Self, c.Crew.Now(), a.Live())
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
}

// poller asks the platform for one pool's workers, at this node's share of the fleet's rate (design 5).
func (c *Barometer) poller(pool string) {
	gap := time.Duration(c.Boot.PollMs) * time.Millisecond
	turn := nephoscope.Turn{}
	t := time.NewTicker(gap / 10)
	defer t.Stop()
	for {
		select {
		case <-c.Crew.Stopped():
			return
		case <-t.C:
		}
		now := c.Crew.Now()
		c.dutyMu.Lock()
		share := c.duty.Share(now)
		c.dutyMu.Unlock()
		if !c.leaving.Load() && turn.Due(now, share, gap) {
			c.ask(pool)
		}
	}
}

func (c *Barometer) ask(pool string) {
	now := c.Crew.Now()
	c.skyMu.Lock()
	a := c.sky.Ask(now, pool, c.Self, time.Now().UnixMilli())
	c.skyMu.Unlock()
	code, b, _, err := telegraph.HTTP("GET", c.Boot.Platform, "/v1/pools/"+pool+"/workers", nil, nil, time.Second)
	why := ""
	var l []forecast.Worker
	switch {
	case err != nil:
		why = err.Error()
		c.yield()
	case code != 200:
		why = fmt.Sprintf("status %d", code)
	default:
		if l, err = forecast.ReadWorkers(b); err != nil {
			why = err.Error()
		} else if len(l) == 0 {
			why = "an empty list is not believed"
		}
	}
	c.polled.mu.Lock()
	c.polled.at, c.polled.last = c.Crew.Now(), why
	if why == "" {
		c.polled.ok++
	} else {
		c.polled.bad++
	}
	c.polled.mu.Unlock()
	if why != "" {
		c.Log.WithField("why", why).Warn("the platform gave no list")
		return
	}
	c.skyMu.Lock()
	data, news := c.sky.Heard(a, l)
	c.skyMu.Unlock()
	if news {
		c.spread(c.Crew.Now(), []barograph.News{{Key: nephoscope.Key(pool, c.Self), Num: a.Num, Data: data}})
	}
}

// yield leaves the duty to others when this node can't reach the platform at all.
func (c *Barometer) yield() {
	now := c.Crew.Now()
	c.dutyMu.Lock()
	var out station.Out
	if c.duty.Holds(now) {
		out = c.duty.Yield(now)
	}
	c.dutyMu.Unlock()
	c.Deliver(out)
}

// look takes the news that is about workers.
func (c *Barometer) look(now units.Time, fresh []bulletin.Item) {
	c.skyMu.Lock()
	defer c.skyMu.Unlock()
	for _, it := range fresh {
		if !strings.HasPrefix(it.Key, nephoscope.Prefix) {
			continue
		}
		if _, err := c.sky.Take(now, it.Key, it.Num, it.Data); err != nil {
			c.Errors.Add(1)
			c.Log.WithError(err).Error("a worker list can't be read here")
		}
	}
}
