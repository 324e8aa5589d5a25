package barod

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/barograph"
	"seamshunt/internal/heliograph"
	"seamshunt/internal/mast"
	"seamshunt/internal/synop"
	"seamshunt/internal/tower"
)

// Ask carries a wish to a key's owner and waits for its result.
func (c *Barometer) Ask(a barograph.Ask) barograph.Result {
	if a.Write && c.noRoom() {
		return barograph.Result{Code: synop.DiskFull}
	}
	if a.Write && a.Plan == "" {
		a.Plan = tower.Random().String() // so that it may be sent on when its key changes owners
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
	t := time.NewTimer(barograph.Patience)
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
	c.Crew.Sleep(500 * time.Millisecond) // the others take the keys over under higher epochs
	_ = c.web.Shutdown()
	c.Goodbye()
}

// change makes an operator's change, and has it in the audit record before it is acknowledged (design 10).
func (c *Barometer) change(ctx *fasthttp.RequestCtx, a barograph.Ask) {
	c.result(ctx, c.record(a))
}

// record is the same for whoever answers otherwise.
func (c *Barometer) record(a barograph.Ask) barograph.Result {
	a.Write = true
	r := c.Ask(a)
	if r.Code == synop.OK {
		sum := sha256.Sum256(a.Data)
		c.note(heliograph.Leaf{Unix: time.Now().Unix(), Key: a.Key, Number: uint64(r.Num), Plan: a.Plan, SHA256: hex.EncodeToString(sum[:])})
	}
	return r
}
