package barod

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"seamshunt/internal/almanac"
	"seamshunt/internal/barograph"
	"seamshunt/internal/forecast"
	"seamshunt/internal/synop"
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
	c.baro = b
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

// poller asks the platform for one pool's workers while the duty is this node's (design 5).
func (c *Barometer) poller(pool string) {
	gap := time.Duration(c.Boot.PollMs) * time.Millisecond
	held := false
	t := time.NewTicker(gap)
	defer t.Stop()
	for {
		select {
		case <-c.Crew.Stopped():
			return
		case <-t.C:
		}
		now := c.Crew.Now()
		c.dutyMu.Lock()
		mine := c.duty.Holds(now)
		c.dutyMu.Unlock()
		if mine && held {
			c.ask(pool)
		}
		held = mine // the first gap of a new holder is left to whatever its forerunner still asked
	}
}

func (c *Barometer) ask(pool string) {
	code, b, _, err := telegraph.HTTP("GET", c.Boot.Platform, "/v1/pools/"+pool+"/workers", nil, nil, time.Second)
	why := ""
	var l []forecast.Worker
	switch {
	case err != nil:
		why = err.Error()
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
	c.record("workers/"+pool, l)
}

// record writes a list that differs from the one in force.
func (c *Barometer) record(key string, l []forecast.Worker) {
	num := units.Num(0)
	c.BullMu.Lock()
	it := c.Bull.Items[key]
	c.BullMu.Unlock()
	if it != nil {
		num = it.Num
		if old, err := forecast.ReadWorkers(it.Data); err == nil && same(old, l) {
			return
		}
	}
	r := c.Ask(barograph.Ask{Key: key, Write: true, Expect: num, Data: forecast.PackWorkers(l)})
	if r.Code != synop.OK {
		c.Log.WithField("code", r.Code).Warn("the worker list could not be kept")
	}
}

// same compares lists but for ages.
func same(a, b []forecast.Worker) bool {
	strip := func(l []forecast.Worker) []byte {
		c := append([]forecast.Worker(nil), l...)
		for i := range c {
			c[i].Age = 0
		}
		return forecast.PackWorkers(c)
	}
	return bytes.Equal(strip(a), strip(b))
}
