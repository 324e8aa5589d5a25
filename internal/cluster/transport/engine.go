package transport

import (
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"seamshunt/internal/listener"
	"seamshunt/internal/socket"
	"seamshunt/internal/tasks"
	"seamshunt/internal/units"
)

// closeTimeout is how long Close waits for the event loop to stop.
const closeTimeout = time.Second

// ackTimeout is how long data may stay unacknowledged before its connection is closed. Without it, messages to a peer
// that is reachable again after a partition would wait for the kernel's next retransmission, which comes seconds later.
const ackTimeout = 2 * time.Second

// keepAlive detects that a peer to which nothing is sent is unreachable. The probes are rare, since each node has a
// connection to every other node.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Minute, Interval: 5 * time.Second, Count: 3}

// discardLogger keeps gnet's own log lines out of the process's log.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}

var _ logging.Logger = discardLogger{}

// eventHandler has the callbacks of the event loop. A connection with a link was opened by this process, for sending; any
// other was opened by a peer.
type eventHandler struct {
	gnet.BuiltinEventEngine
	transport *Transport
}

// Open listens on addr and passes received messages to the handlers.
func Open(self units.NodeID, addr string, group *tasks.Group, handlers Handlers) (*Transport, error) {
	t := &Transport{Self: self, tasks: group, handlers: handlers, conns: map[string]*peerConn{}, addrs: map[units.NodeID]string{}}
	engine, err := gnet.NewClient(&eventHandler{transport: t}, gnet.WithLogger(discardLogger{}),
		gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	ln, err := listener.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	if err := engine.Start(); err != nil {
		ln.Close()
		return nil, fmt.Errorf("transport: %w", err)
	}
	t.engine, t.listener = engine, ln
	group.Supervise(func() error { return t.accept(addr) }, handlers.ListenerFailed)
	return t, nil
}

// accept accepts connections of peers until the listener fails. A shortage of file descriptors doesn't end the listener.
func (t *Transport) accept(addr string) error {
	ln, err := t.listen(addr)
	if err != nil || ln == nil {
		return err
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return t.closeListener(ln, err)
		}
		setTimeouts(c)
		if _, err := t.engine.Enroll(c); err != nil {
			t.FailedAccepts.Add(1)
		}
	}
}

// listen returns the listener, reopening it if it has failed. It returns nil once the transport is closed.
func (t *Transport) listen(addr string) (net.Listener, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.listener != nil {
		return t.listener, nil
	}
	ln, err := listener.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	t.listener = ln
	return ln, nil
}

// closeListener closes a listener that has failed and returns the cause, or nil if the transport was closed.
func (t *Transport) closeListener(ln net.Listener, cause error) error {
	ln.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = nil
	if t.closed {
		return nil
	}
	return fmt.Errorf("transport: accept: %w", cause)
}

// setTimeouts makes the kernel close a connection whose peer no longer acknowledges data.
func setTimeouts(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(keepAlive)
	socket.SetUserTimeout(tcp, ackTimeout)
}

// OnOpen opens the connection's link for writing.
func (e *eventHandler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if l, ok := c.Context().(*link); ok {
		l.open(c)
	}
	return nil, gnet.None
}

// OnClose closes the connection's link. It is called before the descriptor is closed.
func (e *eventHandler) OnClose(c gnet.Conn, _ error) gnet.Action {
	if l, ok := c.Context().(*link); ok {
		l.close()
	}
	return gnet.None
}

// OnTraffic reads complete frames from a peer's connection; an invalid frame closes it. A link is for sending only, so any
// data received on it is invalid.
func (e *eventHandler) OnTraffic(c gnet.Conn) gnet.Action {
	if _, ok := c.Context().(*link); ok {
		e.transport.BadFrames.Add(1)
		return gnet.Close
	}
	return e.transport.readFrames(c)
}

// readFrames handles all complete frames in the input buffer.
func (t *Transport) readFrames(c gnet.Conn) gnet.Action {
	for c.InboundBuffered() >= headerLen {
		b, err := c.Peek(headerLen)
		if err != nil {
			return gnet.None
		}
		h, err := decodeHeader(b)
		if err != nil {
			t.BadFrames.Add(1)
			return gnet.Close
		}
		if c.InboundBuffered() < headerLen+int(h.Len) {
			return gnet.None
		}
		b, err = c.Next(headerLen + int(h.Len))
		if err != nil {
			return gnet.None
		}
		t.BytesIn.Add(uint64(len(b)))
		t.handleFrame(h, b)
	}
	return gnet.None
}

// handleFrame delivers a frame if it is addressed to this node. It may be for another one that used this address before.
func (t *Transport) handleFrame(h frameHeader, b []byte) {
	if to := units.NodeID(h.To); to != 0 && to != t.Self {
		return
	}
	msg, err := h.decodeMessage(b[headerLen:])
	if err != nil {
		t.BadFrames.Add(1)
		return
	}
	t.handlers.Receive(msg)
}

// Close closes the listener and all connections, and waits up to closeTimeout for the event loop to stop.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	ln := t.listener
	t.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	stopped := make(chan struct{})
	t.tasks.Go(func() {
		_ = t.engine.Stop()
		close(stopped)
	})
	select {
	case <-stopped:
	case <-time.After(closeTimeout):
	}
}
