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

// withAnswerTimeout returns the context of one operator's call, which starts now. The limit is register.AnswerTimeout for
// calls through an adapter, whose clients disconnect after 1 s, and register.RequestTimeout on the built-in interface,
// whose commands wait for 10 s.
func withAnswerTimeout(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}

// Submit sends a request to the owner of its key and waits for the result until ctx is done. A controller that knows that it
// can't reach a majority returns that at once and sends nothing.
func (c *Controller) Submit(ctx context.Context, request register.Request) register.Result {
	if request.Write && !request.Lookup && c.majorityFull() {
		return register.Result{Code: resultcode.DiskFull}
	}
	if request.Write && request.RequestID == "" {
		request.RequestID = node.RandomID().String() // lets the request be resent when its key changes owners
	}
	request.Tag = c.lastTag.Add(1)
	results := make(chan register.Result, 1)
	now := c.Tasks.Now()
	c.replicaMu.Lock()
	if !c.replica.ReachesMajority(now) {
		c.replicaMu.Unlock()
		return register.Result{Code: resultcode.NoMajority}
	}
	c.pendingResults[request.Tag] = results
	effects := c.replica.Submit(now, request)
	c.collectResults()
	c.Deliver(effects)
	c.replicaMu.Unlock()
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
	}
	c.replicaMu.Lock()
	delete(c.pendingResults, request.Tag)
	c.replicaMu.Unlock()
	return register.Result{Code: request.TimeoutCode()}
}

// Durations of a shutdown.
const (
	handoverTime            = 500 * time.Millisecond
	leaveQuorumTimeout      = 3 * time.Second // limit of the wait for the removal from the quorum set
	leaveQuorumPollInterval = 50 * time.Millisecond
)

// leaveQuorum waits until this node is removed from the quorum set, if the set can spare it. By then, values that only
// this disk and a few others hold have been copied to a majority of the next set.
func (c *Controller) leaveQuorum() {
	deadline := c.Tasks.Now().Add(min(leaveQuorumTimeout, c.Settings.Bounds.GracePeriod/2))
	for c.Tasks.Now() < deadline && c.isBeingRemoved() {
		c.Tasks.Sleep(leaveQuorumPollInterval)
	}
}

func (c *Controller) isBeingRemoved() bool {
	c.replicaMu.Lock()
	defer c.replicaMu.Unlock()
	return c.replica.IsBeingRemoved()
}

// Drain hands over the keys and the platform lease and then stops this node.
func (c *Controller) Drain() {
	c.draining.Store(true)
	c.leaseMu.Lock()
	c.lease.Resign()
	c.leaseMu.Unlock()
	c.SetFlag(membership.Draining, true)
	c.Tasks.Sleep(handoverTime) // the other controllers take over the keys with higher epochs
	c.leaveQuorum()
	c.StopServing()
	_ = c.httpServer.Shutdown()
	c.Leave()
}

// writeAndRespond makes an operator's change and records it for audit before it responds (docs/design.md, section 10).
func (c *Controller) writeAndRespond(callCtx context.Context, ctx *fasthttp.RequestCtx, request register.Request) {
	c.respond(ctx, c.writeAudited(callCtx, request))
}

// writeAudited makes a change and records it for audit before it returns. The caller responds.
func (c *Controller) writeAudited(ctx context.Context, request register.Request) register.Result {
	request.Write = true
	result := c.Submit(ctx, request)
	if result.Code == resultcode.OK {
		sum := sha256.Sum256(request.Data)
		c.appendAudit(ctx, changelog.Entry{Unix: time.Now().Unix(), Key: request.Key, Version: uint64(result.Version), Plan: request.RequestID, SHA256: hex.EncodeToString(sum[:])})
	}
	return result
}
