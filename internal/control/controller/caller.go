package controller

import (
	"net"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/socket"
	"seamshunt/internal/units"
)

// callers accepts operators' connections.
type callers struct {
	net.Listener
	arrivedAfter func() units.Time
}

// caller is the connection of an operator. It remembers a time before which the order that is read from it next was not sent:
// when the connection was opened or, unless the order was there by then, when the order before was answered.
type caller struct {
	*net.TCPConn
	arrivedAfter func() units.Time
	sentAfter    atomic.Int64
}

// Accept gives the next connection.
func (l *callers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	age, _ := socket.Age(tcp) // 0 where the kernel doesn't tell
	x := &caller{TCPConn: tcp, arrivedAfter: l.arrivedAfter}
	x.sentAfter.Store(int64(l.arrivedAfter().Add(-age)))
	return x, nil
}

// Write sends an answer. What waits to be read already was sent before it.
func (x *caller) Write(b []byte) (int, error) {
	if now := x.arrivedAfter(); socket.Peek(x.TCPConn) != socket.Readable {
		x.sentAfter.Store(int64(now))
	}
	return x.TCPConn.Write(b)
}

// callersOf has operators' connections remember when their orders can have been sent.
func (c *Controller) callersOf(ln net.Listener) net.Listener {
	return &callers{Listener: ln, arrivedAfter: func() units.Time { return c.EarliestArrival(c.Tasks.Now()) }}
}

// sentAfter gives a time before which the order that came on a connection was not sent.
func (c *Controller) sentAfter(conn net.Conn) units.Time {
	if x, ok := conn.(*caller); ok {
		return units.Time(x.sentAfter.Load())
	}
	return c.Tasks.Now()
}

// abandoned says whether a call would change something for a caller that has left, and answers it then: that caller has gone
// on, and nobody would learn of the change.
func (c *Controller) abandoned(ctx *fasthttp.RequestCtx) bool {
	if ctx.IsGet() || ctx.IsHead() || !socket.PeerClosed(ctx.Conn()) {
		return false
	}
	c.abandonedOrders.Add(1)
	c.Log.WithField("method", string(ctx.Method())).WithField("path", string(ctx.Path())).Warn("an order was not begun: its caller has left")
	c.fail(ctx, &resultcode.Fault{Code: resultcode.OperatorDisconnected, Text: texts[resultcode.OperatorDisconnected]})
	return true
}
