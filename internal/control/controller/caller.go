package controller

import (
	"github.com/valyala/fasthttp"

	"seamshunt/internal/codes"
	"seamshunt/internal/socket"
)

// abandoned says whether a call would change something for a caller that has left, and answers it then: that caller has gone
// on, and nobody would learn of the change.
func (c *Controller) abandoned(ctx *fasthttp.RequestCtx) bool {
	if ctx.IsGet() || ctx.IsHead() || !socket.HungUp(ctx.Conn()) {
		return false
	}
	c.abandonedOrders.Add(1)
	c.Log.WithField("method", string(ctx.Method())).WithField("path", string(ctx.Path())).Warn("an order was not begun: its caller has left")
	c.fail(ctx, &codes.Fault{Code: codes.CallerLeft, Text: texts[codes.CallerLeft]})
	return true
}
