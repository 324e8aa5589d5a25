package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/control/changelog"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/resultcode"
)

// answerTime gives the time that one operator's call has, from now until its answer: register.AnswerTimeout through an
// adapter, whose callers leave after a second, and register.RequestTimeout on the product's own interface, whose commands
// wait for ten.
func answerTime(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}

// Submit carries a request to its key's owner and waits for the result until the call's time is up. A controller that
// knows that it does not reach a majority answers so at once, and sends nothing.
func (c *Controller) Submit(ctx context.Context, a register.Request) register.Result {
	if a.Write && !a.Lookup && c.noRoom() {
		return register.Result{Code: resultcode.DiskFull}
	}
	if a.Write && a.RequestID == "" {
		a.RequestID = node.RandomID().String() // so that it may be sent on when its key changes owners
	}
	a.Tag = c.tag.Add(1)
	ch := make(chan register.Result, 1)
	now := c.Tasks.Now()
	c.replicaMu.Lock()
	if !c.replica.ReachesMajority(now) {
		c.replicaMu.Unlock()
		return register.Result{Code: resultcode.NoMajority}
	}
	c.waits[a.Tag] = ch
	out := c.replica.Submit(now, a)
	c.drain()
	c.Deliver(out)
	c.replicaMu.Unlock()
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
	}
	c.replicaMu.Lock()
	delete(c.waits, a.Tag)
	c.replicaMu.Unlock()
	return register.Result{Code: a.TimeoutCode()}
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
	until := c.Tasks.Now().Add(min(leaveWithin, c.Settings.Bounds.GracePeriod/2))
	for c.Tasks.Now() < until && c.givesUpSeat() {
		c.Tasks.Sleep(leaveLookEach)
	}
}

func (c *Controller) givesUpSeat() bool {
	c.replicaMu.Lock()
	defer c.replicaMu.Unlock()
	return c.replica.IsBeingRemoved()
}

// Drain hands keys and duty over, then leaves.
func (c *Controller) Drain() {
	c.leaving.Store(true)
	c.leaseMu.Lock()
	c.lease.Resign()
	c.leaseMu.Unlock()
	c.SetFlag(membership.Draining, true)
	c.Tasks.Sleep(handOver) // the others take the keys over under higher epochs
	c.leaveQuorum()
	c.StopServing()
	_ = c.web.Shutdown()
	c.Leave()
}

// change makes an operator's change, and has it in the audit record before it is acknowledged (design 10).
func (c *Controller) change(within context.Context, ctx *fasthttp.RequestCtx, a register.Request) {
	c.result(ctx, c.record(within, a))
}

// record is the same for whoever answers otherwise.
func (c *Controller) record(ctx context.Context, a register.Request) register.Result {
	a.Write = true
	r := c.Submit(ctx, a)
	if r.Code == resultcode.OK {
		sum := sha256.Sum256(a.Data)
		c.note(ctx, changelog.Entry{Unix: time.Now().Unix(), Key: a.Key, Version: uint64(r.Version), Plan: a.RequestID, SHA256: hex.EncodeToString(sum[:])})
	}
	return r
}
