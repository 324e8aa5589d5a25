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

// evacuate has a zone evacuated, or takes that back.
//
// The call has no version and no id of its own, so what its caller knew has to follow from when it was sent. An order changes
// a state only if this node had heard of that before the order can have been sent, and writes on that state's number: whatever
// was acknowledged since has a newer one. Every acknowledgement is a write with a number of its own, also where the zone is as
// wished already, so that an order which was given up before and is still on its way inside meets a newer number as well.
// An order that comes too late for this is left open, never refused; its caller sends it again, as a new call.
func (c *Controller) evacuate(caller net.Conn, zone string, out bool) resultcode.Code {
	began := c.Tasks.Now()
	o := &zoneOrder{key: node.ZonePrefix + zone, wanted: fmt.Appendf(nil, `{"evacuated":%v}`, out)}
	code := c.setZone(caller, zone, o)
	c.zoneOrders.count(code)
	c.Log.WithFields(log.Fields{"zone": zone, "evacuated": out, "builds_on": o.num, "may_change": o.mayChange, "code": int(code),
		"took": c.Tasks.Now().Sub(began)}).Warn("an order for a zone")
	return code
}

// zoneOrder is an order for a zone, with the state that it is to be written on.
type zoneOrder struct {
	key       string
	wanted    []byte
	num       units.Version
	state     []byte
	mayChange bool // the caller can have known of that state
}

// setZone carries an order out.
func (c *Controller) setZone(caller net.Conn, zone string, o *zoneOrder) resultcode.Code {
	ctx, done := answerTime(register.AnswerTimeout)
	defer done()
	if code := c.checkZoneExists(ctx, zone); code != resultcode.OK {
		return code
	}
	if code := c.zoneState(ctx, o, c.sentAfter(caller)); code != resultcode.OK {
		return code
	}
	return c.writeZone(ctx, o)
}

// writeZone writes an order on the state that it names or, where another came first, on the newest if that is as wished.
func (c *Controller) writeZone(ctx context.Context, o *zoneOrder) resultcode.Code {
	for {
		if !o.mayChange && !bytes.Equal(o.state, o.wanted) {
			return resultcode.CommitUnknown
		}
		r := c.record(ctx, register.Request{Key: o.key, ExpectedVersion: o.num, Data: o.wanted})
		switch r.Code {
		case resultcode.OK:
			c.learn(configpush.Item{Key: o.key, Version: r.Version, Data: o.wanted})
			return resultcode.OK
		case resultcode.VersionConflict:
		default:
			return r.Code
		}
		if code := c.newestZoneState(ctx, o); code != resultcode.OK {
			return code
		}
		o.mayChange = false
	}
}

// learn takes a state that is about to be acknowledged here, so that the caller's next order finds it known.
func (c *Controller) learn(item configpush.Item) {
	c.FeedMu.Lock()
	defer c.FeedMu.Unlock()
	item.ReceivedAt = c.Tasks.Now()
	c.Feed.Apply(item)
}

// zoneState finds the state that an order is to be written on, given a time before which it was not sent.
func (c *Controller) zoneState(ctx context.Context, o *zoneOrder, sentAfter units.Time) resultcode.Code {
	if item, ok := c.heard(o.key); ok {
		o.num, o.state, o.mayChange = item.Version, item.Data, item.ReceivedAt <= sentAfter
		return resultcode.OK
	}
	code := c.newestZoneState(ctx, o)
	o.mayChange = o.num == 0
	return code
}

// newestZoneState reads the state that a majority confirms.
func (c *Controller) newestZoneState(ctx context.Context, o *zoneOrder) resultcode.Code {
	r := c.Submit(ctx, register.Request{Key: o.key})
	o.num, o.state = r.Version, r.Data
	return r.Code
}

// heardOf is a key's value as this node last had news of it: it was chosen, but a newer one may stand.
func (c *Controller) heardOf(key string) (units.Version, []byte) {
	item, _ := c.heard(key)
	return item.Version, item.Data
}

// heard is the same with the time at which this node had it.
func (c *Controller) heard(key string) (configpush.Item, bool) {
	c.FeedMu.Lock()
	defer c.FeedMu.Unlock()
	item := c.Feed.Items[key]
	if item == nil {
		return configpush.Item{}, false
	}
	return *item, true
}
