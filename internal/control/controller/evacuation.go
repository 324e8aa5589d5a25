package controller

import (
	"bytes"
	"context"
	"fmt"
	"net"

	"github.com/apex/log"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// handleZoneRequest evacuates a zone or readmits it.
//
// The call has neither a version nor an ID, so the state that its client knew follows only from when it was sent. A
// request may change a state only if this node knew that state before the request can have been sent. Its write is based
// on the stored version of that state, so it conflicts with any change acknowledged since. Every acknowledgement is a write
// with a new stored version, even if the zone is in the desired state already: a request that its client gave up on
// earlier and that is still on its way inside the fleet then conflicts too. A request that is too late for this gets an
// unknown outcome and is never refused; its client sends it again as a new call.
func (c *Controller) handleZoneRequest(client net.Conn, zone string, evacuate bool) resultcode.Code {
	startedAt := c.Tasks.Now()
	request := &zoneRequest{key: node.ZonePrefix + zone, desired: fmt.Appendf(nil, `{"evacuated":%v}`, evacuate)}
	code := c.applyZoneRequest(client, zone, request)
	c.zoneRequests.count(code)
	c.Log.WithFields(log.Fields{"zone": zone, "evacuated": evacuate, "builds_on": request.baseVersion, "may_change": request.mayChange, "code": int(code),
		"took": c.Tasks.Now().Sub(startedAt)}).Warn("handled a request to evacuate or readmit a zone")
	return code
}

// zoneRequest is a request to evacuate or readmit a zone, with the state that its write is based on.
type zoneRequest struct {
	key         string
	desired     []byte
	baseVersion units.Version
	baseState   []byte
	mayChange   bool // the client can have known the base state
}

// applyZoneRequest checks a request, finds its base state and writes it.
func (c *Controller) applyZoneRequest(client net.Conn, zone string, request *zoneRequest) resultcode.Code {
	ctx, cancel := withAnswerTimeout(register.AnswerTimeout)
	defer cancel()
	if code := c.checkZoneExists(ctx, zone); code != resultcode.OK {
		return code
	}
	if code := c.findBaseState(ctx, request, c.earliestSendTime(client)); code != resultcode.OK {
		return code
	}
	return c.writeZoneState(ctx, request)
}

// writeZoneState writes the desired state, based on the request's base state or, after a conflict, on the newest state if
// that is the desired one already.
func (c *Controller) writeZoneState(ctx context.Context, request *zoneRequest) resultcode.Code {
	for {
		if !request.mayChange && !bytes.Equal(request.baseState, request.desired) {
			return resultcode.CommitUnknown
		}
		result := c.writeAudited(ctx, register.Request{Key: request.key, ExpectedVersion: request.baseVersion, Data: request.desired})
		switch result.Code {
		case resultcode.OK:
			c.recordUpdate(configpush.Item{Key: request.key, Version: result.Version, Data: request.desired})
			return resultcode.OK
		case resultcode.VersionConflict:
		default:
			return result.Code
		}
		if code := c.readZoneState(ctx, request); code != resultcode.OK {
			return code
		}
		request.mayChange = false
	}
}

// recordUpdate stores a state that this node is about to acknowledge, so that the node already knows it when the client's
// next request arrives.
func (c *Controller) recordUpdate(item configpush.Item) {
	c.FeedMu.Lock()
	defer c.FeedMu.Unlock()
	item.ReceivedAt = c.Tasks.Now()
	c.Feed.Apply(item)
}

// findBaseState finds the state that a request's write is based on, given a lower bound for the request's send time.
func (c *Controller) findBaseState(ctx context.Context, request *zoneRequest, earliestSendTime units.Time) resultcode.Code {
	if item, ok := c.knownItem(request.key); ok {
		request.baseVersion, request.baseState, request.mayChange = item.Version, item.Data, item.ReceivedAt <= earliestSendTime
		return resultcode.OK
	}
	code := c.readZoneState(ctx, request)
	request.mayChange = request.baseVersion == 0
	return code
}

// readZoneState reads the state from a majority and makes it the request's base state.
func (c *Controller) readZoneState(ctx context.Context, request *zoneRequest) resultcode.Code {
	result := c.Submit(ctx, register.Request{Key: request.key})
	request.baseVersion, request.baseState = result.Version, result.Data
	return result.Code
}

// knownValue returns the newest value of a key that this node knows. It was chosen, but a newer one may be in force.
func (c *Controller) knownValue(key string) (units.Version, []byte) {
	item, _ := c.knownItem(key)
	return item.Version, item.Data
}

// knownItem is knownValue with the time at which this node received the value.
func (c *Controller) knownItem(key string) (configpush.Item, bool) {
	c.FeedMu.Lock()
	defer c.FeedMu.Unlock()
	item := c.Feed.Items[key]
	if item == nil {
		return configpush.Item{}, false
	}
	return *item, true
}
