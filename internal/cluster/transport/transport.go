package transport

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/shield"
	"seamshunt/internal/tasks"
	"seamshunt/internal/units"
)

// wire is one held connection for sending; the way back is the neighbour's own wire.
type wire struct {
	link *link
	dial bool
	wait [][]byte
	next units.Time
	back time.Duration
}

const waitMost = 512

// A machine that was dark is found again soon after it is back: neither a dial that hangs nor the back-off after
// refused ones outlasts that by much (design 4).
const (
	dialFor  = 400 * time.Millisecond
	backMost = 250 * time.Millisecond
)

// Transport holds a process's connections to its neighbours. It is safe for concurrent use.
type Transport struct {
	gnet.BuiltinEventEngine
	Self    units.Node
	tasks   *tasks.Group
	take    func(message.Message)
	refused func(addr string)
	eng     gnet.Engine
	cli     *gnet.Client
	up      chan error
	mu      sync.Mutex // last in the lock order: nothing is called while it is held
	wires   map[string]*wire
	addrs   map[units.Node]string
	Bad     atomic.Uint64
	In      atomic.Uint64
	Out     atomic.Uint64
}

type outSide struct {
	gnet.BuiltinEventEngine
	t *Transport
}

// quiet keeps gnet's own log out of the process's.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}

var _ logging.Logger = quiet{}

// Open listens on addr and gives notes to take, which must not block.
func Open(self units.Node, addr string, c *tasks.Group, take func(message.Message), refused func(string)) (*Transport, error) {
	t := &Transport{Self: self, tasks: c, take: take, refused: refused, up: make(chan error, 2),
		wires: map[string]*wire{}, addrs: map[units.Node]string{}}
	cli, err := gnet.NewClient(&outSide{t: t}, gnet.WithLogger(quiet{}), gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	if err := cli.Start(); err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	t.cli = cli
	c.Go(func() {
		err := gnet.Run(t, "tcp://"+addr, gnet.WithLogger(quiet{}), gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
		t.up <- err
	})
	if err := <-t.up; err != nil {
		return nil, fmt.Errorf("transport: listen on %s: %w", addr, err)
	}
	return t, nil
}

// OnBoot tells Open that the listener stands.
func (t *Transport) OnBoot(eng gnet.Engine) gnet.Action {
	t.eng = eng
	t.up <- nil
	return gnet.None
}

// OnTraffic takes whole frames off a neighbour's wire; a bad one closes it.
func (t *Transport) OnTraffic(c gnet.Conn) gnet.Action {
	for c.InboundBuffered() >= headLen {
		b, err := c.Peek(headLen)
		if err != nil {
			return gnet.None
		}
		h, err := readHead(b)
		if err != nil {
			t.Bad.Add(1)
			return gnet.Close
		}
		if c.InboundBuffered() < headLen+int(h.Len) {
			return gnet.None
		}
		b, err = c.Next(headLen + int(h.Len))
		if err != nil {
			return gnet.None
		}
		t.In.Add(uint64(len(b)))
		if to := units.Node(h.To); to != 0 && to != t.Self {
			continue // meant for one that lived at this address before
		}
		n, err := h.note(b[headLen:])
		if err != nil {
			t.Bad.Add(1)
			continue
		}
		t.take(n)
	}
	return gnet.None
}

// OnOpen and OnClose tell a sending wire's link between when it may be written to.
func (o *outSide) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	c.Context().(*link).open(c)
	return nil, gnet.None
}

// OnClose is called before the descriptor is closed.
func (o *outSide) OnClose(c gnet.Conn, _ error) gnet.Action {
	c.Context().(*link).close()
	return gnet.None
}

// OnTraffic on a sending wire: a neighbour never talks back on it.
func (o *outSide) OnTraffic(c gnet.Conn) gnet.Action {
	o.t.Bad.Add(1)
	return gnet.Close
}

// Learn notes where a node can be reached.
func (t *Transport) Learn(n units.Node, addr string) {
	t.mu.Lock()
	t.addrs[n] = addr
	t.mu.Unlock()
}

// Send puts a note on its wire, dialling when there is none; what can't be sent is lost, as on any net.
func (t *Transport) Send(n message.Message) {
	n.From = t.Self
	if n.To == t.Self {
		t.take(n)
		return
	}
	b := frame(n)
	t.mu.Lock()
	addr := n.Addr
	if addr == "" {
		addr = t.addrs[n.To]
	}
	if addr == "" || shield.Lost(addr) {
		t.mu.Unlock()
		return
	}
	w := t.wires[addr]
	if w == nil {
		w = &wire{}
		t.wires[addr] = w
	}
	if l := w.link; l != nil {
		t.mu.Unlock()
		if l.send(b) {
			t.Out.Add(uint64(len(b)))
			return
		}
		t.mu.Lock()
		if w.link == l {
			w.link = nil
		}
	}
	now := t.tasks.Now()
	if now < w.next || len(w.wait) >= waitMost {
		t.mu.Unlock()
		return
	}
	w.wait = append(w.wait, b)
	start := !w.dial
	w.dial = true
	t.mu.Unlock()
	if start {
		t.tasks.Go(func() { t.dial(addr, w) })
	}
}

func (t *Transport) dial(addr string, w *wire) {
	nc, err := shield.Dial(addr, dialFor)
	l := &link{}
	if err == nil {
		_, err = t.cli.EnrollContext(shield.Bare(nc), l)
	}
	t.mu.Lock()
	w.dial = false
	wait := w.wait
	w.wait = nil
	if err != nil {
		w.back = min(max(2*w.back, 50*time.Millisecond), backMost)
		w.next = t.tasks.Now().Add(w.back)
		t.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) && t.refused != nil {
			t.refused(addr)
		}
		return
	}
	w.back, w.link = 0, l
	t.mu.Unlock()
	for _, b := range wait {
		if l.send(b) {
			t.Out.Add(uint64(len(b)))
		}
	}
}

// Close ends all wires.
func (t *Transport) Close() {
	_ = t.cli.Stop()
	done := t.eng
	_ = done.Stop(context.Background())
}
