package controller

import (
	"net"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/socket"
	"seamshunt/internal/units"
)

// operatorListener accepts operators' connections.
type operatorListener struct {
	net.Listener
	earliestArrival func() units.Time
}

// operatorConn is a connection of an operator. It keeps a lower bound for the send time of the request that is read next:
// the time when the connection was opened or, if that request hadn't arrived by then, the time when the previous one was
// answered.
type operatorConn struct {
	*net.TCPConn
	earliestArrival  func() units.Time
	earliestSendTime atomic.Int64
}

// Accept waits for the next connection and returns it.
func (l *operatorListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	age, _ := socket.Age(tcp) // 0 if the kernel doesn't report it
	tracked := &operatorConn{TCPConn: tcp, earliestArrival: l.earliestArrival}
	tracked.earliestSendTime.Store(int64(l.earliestArrival().Add(-age)))
	return tracked, nil
}

// Write sends an answer. If the next request is readable by now, it was sent before the answer, and the bound stays.
func (c *operatorConn) Write(b []byte) (int, error) {
	if now := c.earliestArrival(); socket.Peek(c.TCPConn) != socket.Readable {
		c.earliestSendTime.Store(int64(now))
	}
	return c.TCPConn.Write(b)
}

// trackSendTimes returns a listener whose connections keep a lower bound for the send times of their requests.
func (c *Controller) trackSendTimes(ln net.Listener) net.Listener {
	return &operatorListener{Listener: ln, earliestArrival: func() units.Time { return c.EarliestArrival(c.Tasks.Now()) }}
}

// earliestSendTime returns a lower bound for the send time of the request that was read from a connection.
func (c *Controller) earliestSendTime(conn net.Conn) units.Time {
	if tracked, ok := conn.(*operatorConn); ok {
		return units.Time(tracked.earliestSendTime.Load())
	}
	return c.Tasks.Now()
}

// refuseAbandoned reports whether a request is a change whose client has disconnected, and refuses it if so: the client
// no longer waits for the result, so nobody would learn of the change.
func (c *Controller) refuseAbandoned(ctx *fasthttp.RequestCtx) bool {
	if ctx.IsGet() || ctx.IsHead() || !socket.PeerClosed(ctx.Conn()) {
		return false
	}
	c.abandonedRequests.Add(1)
	c.Log.WithField("method", string(ctx.Method())).WithField("path", string(ctx.Path())).Warn("refused a request whose client has disconnected")
	c.respondFaults(ctx, &resultcode.Fault{Code: resultcode.OperatorDisconnected, Text: faultTexts[resultcode.OperatorDisconnected]})
	return true
}
