package controller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/apex/log"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/codes"
	"seamshunt/internal/control/register"
	"seamshunt/internal/node"
	"seamshunt/internal/units"
)

// evacuate sets a zone's state. The call has no version and no id of its own, so it builds on the number that this node
// knew when the call arrived, and on no later one: a copy that was held up on its way through this node undoes nothing
// that came after it. A call that meets a newer number ends without a clear answer, unless the zone is as it wishes; it is
// never refused. Its caller sends it again, as a new call.
func (c *Controller) evacuate(zone string, out bool) codes.Code {
	began := c.Tasks.Now()
	code, builds := c.setZone(zone, out)
	c.zoneOrders.count(code)
	c.Log.WithFields(log.Fields{"zone": zone, "evacuated": out, "builds_on": builds, "code": int(code), "took": c.Tasks.Now().Sub(began)}).
		Warn("an order for a zone")
	return code
}

// setZone gives the result, and the number that the order was built on.
func (c *Controller) setZone(zone string, out bool) (codes.Code, units.Num) {
	ctx, done := answerTime(register.AnswerTimeout)
	defer done()
	if code := c.checkZoneExists(ctx, zone); code != codes.OK {
		return code, 0
	}
	key, wanted := node.ZonePrefix+zone, fmt.Appendf(nil, `{"evacuated":%v}`, out)
	num, state := c.heardOf(key)
	if num == 0 {
		r := c.Submit(ctx, register.Request{Key: key})
		if r.Code != codes.OK {
			return r.Code, 0
		}
		num, state = r.Num, r.Data
	}
	return c.setFrom(ctx, num, state, key, wanted), num
}

// setFrom sets a key that held a state under a number, if it still does.
func (c *Controller) setFrom(ctx context.Context, num units.Num, state []byte, key string, wanted []byte) codes.Code {
	if bytes.Equal(state, wanted) {
		return c.alreadySo(ctx, key, wanted)
	}
	r := c.record(ctx, register.Request{Key: key, Expect: num, Data: wanted})
	if r.Code == codes.Conflict {
		return c.alreadySo(ctx, key, wanted)
	}
	return r.Code
}

// alreadySo acknowledges a wish that a majority confirms to be fulfilled; else the outcome is left open.
func (c *Controller) alreadySo(ctx context.Context, key string, wanted []byte) codes.Code {
	r := c.Submit(ctx, register.Request{Key: key})
	if r.Code == codes.OK && !bytes.Equal(r.Data, wanted) {
		return codes.Unsure
	}
	return r.Code
}

// heardOf is a key's value as this node last had news of it: it was chosen, but a newer one may stand.
func (c *Controller) heardOf(key string) (units.Num, []byte) {
	c.FeedMu.Lock()
	defer c.FeedMu.Unlock()
	if it := c.Feed.Items[key]; it != nil {
		return it.Num, it.Data
	}
	return 0, nil
}

// zoneOrders counts operators' orders for zones by their result.
type zoneOrders struct {
	mu     sync.Mutex
	byCode map[codes.Code]uint64
}

func (z *zoneOrders) count(code codes.Code) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.byCode == nil {
		z.byCode = map[codes.Code]uint64{}
	}
	z.byCode[code]++
}

// write gives Prometheus text.
func (z *zoneOrders) write(w io.Writer) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, code := range message.Keys(z.byCode) {
		fmt.Fprintf(w, "seamshunt_zone_orders_total{code=\"%d\"} %d\n", code, z.byCode[code])
	}
}
