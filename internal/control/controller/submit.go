package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/control/changelog"
	"seamshunt/internal/control/register"
	"seamshunt/internal/synop"
	"seamshunt/internal/tower"
)

// Ask carries a wish to a key's owner and waits for its result.
func (c *Controller) Submit(a register.Request) register.Result {
	if a.Write && !a.Lookup && c.noRoom() {
		return register.Result{Code: synop.DiskFull}
	}
	if a.Write && a.RequestID == "" {
		a.RequestID = tower.Random().String() // so that it may be sent on when its key changes owners
	}
	a.Tag = c.tag.Add(1)
	ch := make(chan register.Result, 1)
	now := c.Crew.Now()
	c.replicaMu.Lock()
	c.waits[a.Tag] = ch
	out := c.replica.Submit(now, a)
	c.drain()
	c.Deliver(out)
	c.replicaMu.Unlock()
	t := time.NewTimer(register.RequestTimeout)
	defer t.Stop()
	select {
	case r := <-ch:
		return r
	case <-t.C:
	}
	c.replicaMu.Lock()
	delete(c.waits, a.Tag)
	c.replicaMu.Unlock()
	if a.Write {
		return register.Result{Code: synop.Unsure}
	}
	return register.Result{Code: synop.NoMajority}
}

// Spans of leaving (start values).
const (
	handOver      = 500 * time.Millisecond
	leaveWithin   = 3 * time.Second // how long a leaving member waits until the set can do without it
	leaveLookEach = 50 * time.Millisecond
)

// leaveQuorum waits until this node is out of the quorum set, where the set can do without it: what only this disk and few
// others hold is on a majority of the next set before this one ends.
func (c *Controller) leaveQuorum() {
	until := c.Crew.Now().Add(min(leaveWithin, c.Boot.Bounds.Grace/2))
	for c.Crew.Now() < until && c.givesUpSeat() {
		c.Crew.Sleep(leaveLookEach)
	}
}

func (c *Controller) givesUpSeat() bool {
	c.replicaMu.Lock()
	defer c.replicaMu.Unlock()
	return c.replica.GivesUpSeat()
}

// Drain hands keys and duty over, then leaves.
func (c *Controller) Drain() {
	c.leaving.Store(true)
	c.leaseMu.Lock()
	c.lease.Drop()
	c.leaseMu.Unlock()
	c.Flag(membership.Draining, true)
	c.Crew.Sleep(handOver) // the others take the keys over under higher epochs
	c.leaveQuorum()
	_ = c.web.Shutdown()
	c.Goodbye()
}

// change makes an operator's change, and has it in the audit record before it is acknowledged (design 10).
func (c *Controller) change(ctx *fasthttp.RequestCtx, a register.Request) {
	c.result(ctx, c.record(a))
}

// record is the same for whoever answers otherwise.
func (c *Controller) record(a register.Request) register.Result {
	a.Write = true
	r := c.Submit(a)
	if r.Code == synop.OK {
		sum := sha256.Sum256(a.Data)
		c.note(changelog.Entry{Unix: time.Now().Unix(), Key: a.Key, Number: uint64(r.Num), Plan: a.RequestID, SHA256: hex.EncodeToString(sum[:])})
	}
	return r
}
