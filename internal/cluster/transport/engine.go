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

// closeFor is how long the end of a transport waits for its event loop.
const closeFor = time.Second

// silentFor is how long what was sent on a connection may go unacknowledged before it is given up: a neighbour that is back
// after a cut must not wait for the kernel's next retransmission, which comes seconds later.
const silentFor = 2 * time.Second

// probes find out that a neighbour is gone to which nothing is sent. They are rare, since a node has a connection to each other one.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Minute, Interval: 5 * time.Second, Count: 3}

// quiet keeps gnet's own log out of the process's.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}

var _ logging.Logger = quiet{}

// events are what the event loop calls. A connection with a link is one of this process's own, for sending; any other is a
// neighbour's.
type events struct {
	gnet.BuiltinEventEngine
	t *Transport
}

// Open listens on addr and gives messages to the handlers.
func Open(self units.NodeID, addr string, c *tasks.Group, handlers Handlers) (*Transport, error) {
	t := &Transport{Self: self, tasks: c, handlers: handlers, wires: map[string]*wire{}, addrs: map[units.NodeID]string{}}
	engine, err := gnet.NewClient(&events{t: t}, gnet.WithLogger(quiet{}), gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
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
	c.Supervise(func() error { return t.accept(addr) }, handlers.ListenerFailed)
	return t, nil
}

// accept takes neighbours' connections until the listener ends. The listener outlasts a shortage of descriptors.
func (t *Transport) accept(addr string) error {
	ln, err := t.listen(addr)
	if err != nil || ln == nil {
		return err
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return t.unlisten(ln, err)
		}
		giveUpSilent(c)
		if _, err := t.engine.Enroll(c); err != nil {
			t.FailedAccepts.Add(1)
		}
	}
}

// listen gives the listener, which is opened again if it has ended; nil once the transport is closed.
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

// unlisten lets go of a listener that has ended, and gives the cause; none if the transport was closed.
func (t *Transport) unlisten(ln net.Listener, cause error) error {
	ln.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = nil
	if t.closed {
		return nil
	}
	return fmt.Errorf("transport: accept: %w", cause)
}

// giveUpSilent has the kernel end a connection whose other side acknowledges nothing any more.
func giveUpSilent(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(probes)
	socket.SetUserTimeout(tcp, silentFor)
}

// OnOpen tells a link that it may be written to.
func (e *events) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if l, ok := c.Context().(*link); ok {
		l.open(c)
	}
	return nil, gnet.None
}

// OnClose is called before the descriptor is closed.
func (e *events) OnClose(c gnet.Conn, _ error) gnet.Action {
	if l, ok := c.Context().(*link); ok {
		l.close()
	}
	return gnet.None
}

// OnTraffic takes whole frames off a neighbour's connection; a bad one closes it. A neighbour never talks back on a link.
func (e *events) OnTraffic(c gnet.Conn) gnet.Action {
	if _, ok := c.Context().(*link); ok {
		e.t.BadFrames.Add(1)
		return gnet.Close
	}
	return e.t.frames(c)
}

// frames takes all whole frames that are there.
func (t *Transport) frames(c gnet.Conn) gnet.Action {
	for c.InboundBuffered() >= headLen {
		b, err := c.Peek(headLen)
		if err != nil {
			return gnet.None
		}
		h, err := readHead(b)
		if err != nil {
			t.BadFrames.Add(1)
			return gnet.Close
		}
		if c.InboundBuffered() < headLen+int(h.Len) {
			return gnet.None
		}
		b, err = c.Next(headLen + int(h.Len))
		if err != nil {
			return gnet.None
		}
		t.BytesIn.Add(uint64(len(b)))
		t.takeFrame(h, b)
	}
	return gnet.None
}

// takeFrame takes one, if it is meant for this node: another may have lived at this address before.
func (t *Transport) takeFrame(h head, b []byte) {
	if to := units.NodeID(h.To); to != 0 && to != t.Self {
		return
	}
	n, err := h.note(b[headLen:])
	if err != nil {
		t.BadFrames.Add(1)
		return
	}
	t.handlers.Receive(n)
}

// Close ends all connections. It waits for the event loop, but not for ever.
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
	case <-time.After(closeFor):
	}
}
