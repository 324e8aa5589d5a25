package controller

import (
	"bytes"
	"context"
	"fmt"

	"seamshunt/internal/codes"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// evacuate sets a zone's state. The call has no version and no id of its own, so it builds on the number that this node
// knew when the call arrived, and on no later one: a copy that was held up on its way through this node undoes nothing
// that came after it. A call that meets a newer number ends without a clear answer, unless the zone is as it wishes; it is
// never refused. Its caller sends it again, as a new call.
func (c *Controller) evacuate(zone string, out bool) codes.Code {
	ctx, done := answerTime(register.AnswerTimeout)
	defer done()
	if code := c.checkZoneExists(ctx, zone); code != codes.OK {
		return code
	}
	key, wanted := "zone/"+zone, fmt.Appendf(nil, `{"evacuated":%v}`, out)
	num, state := c.heardOf(key)
	if num == 0 {
		r := c.Submit(ctx, register.Request{Key: key})
		if r.Code != codes.OK {
			return r.Code
		}
		num, state = r.Num, r.Data
	}
	return c.setFrom(ctx, num, state, key, wanted)
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
