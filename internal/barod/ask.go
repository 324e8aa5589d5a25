package barod

import (
	"time"

	"seamshunt/internal/barograph"
	"seamshunt/internal/mast"
	"seamshunt/internal/synop"
)

// Ask carries a wish to a key's owner and waits for its result.
func (c *Barometer) Ask(a barograph.Ask) barograph.Result {
	if a.Write && c.noRoom() {
		return barograph.Result{Code: synop.DiskFull}
	}
	a.Tag = c.tag.Add(1)
	ch := make(chan barograph.Result, 1)
	now := c.Crew.Now()
	c.baroMu.Lock()
	c.waits[a.Tag] = ch
	out := c.baro.Ask(now, a)
	c.drain()
	c.Deliver(out)
	c.baroMu.Unlock()
	t := time.NewTimer(3 * time.Second)
	defer t.Stop()
	select {
	case r := <-ch:
		return r
	case <-t.C:
	}
	c.baroMu.Lock()
	delete(c.waits, a.Tag)
	c.baroMu.Unlock()
	if a.Write {
		return barograph.Result{Code: synop.Unsure}
	}
	return barograph.Result{Code: synop.NoMajority}
}

// Drain hands keys and duty over, then leaves.
func (c *Barometer) Drain() {
	c.leaving.Store(true)
	c.dutyMu.Lock()
	c.duty.Drop()
	c.dutyMu.Unlock()
	c.Flag(mast.Draining, true)
	time.Sleep(500 * time.Millisecond) // the others take the keys over under higher epochs
	_ = c.web.Shutdown()
	c.Goodbye()
}
