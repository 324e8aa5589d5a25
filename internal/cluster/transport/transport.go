package transport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

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

// Handlers are what a transport calls. None may block.
type Handlers struct {
	Receive           func(message.Message) // a message for this node
	ConnectionRefused func(addr string)     // nobody listens there
	ListenerFailed    func(error)           // the listener ended; it is opened again
}

// Transport holds a process's connections to its neighbours. It is safe for concurrent use.
type Transport struct {
	Self          units.NodeID
	tasks         *tasks.Group
	handlers      Handlers
	engine        *gnet.Client // the event loop of all connections
	mu            sync.Mutex   // last in the lock order: nothing is called while it is held
	listener      net.Listener // nil while none is open
	closed        bool
	wires         map[string]*wire
	addrs         map[units.NodeID]string
	BadFrames     atomic.Uint64
	BytesIn       atomic.Uint64
	BytesOut      atomic.Uint64
	FailedAccepts atomic.Uint64 // connections of neighbours that could not be taken, as for want of descriptors
}

// SetAddr notes where a node can be reached.
func (t *Transport) SetAddr(n units.NodeID, addr string) {
	t.mu.Lock()
	t.addrs[n] = addr
	t.mu.Unlock()
}

// Send puts a note on its wire, dialling when there is none; what can't be sent is lost, as on any net.
func (t *Transport) Send(n message.Message) {
	n.From = t.Self
	if n.To == t.Self {
		t.handlers.Receive(n)
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
			t.BytesOut.Add(uint64(len(b)))
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
		giveUpSilent(shield.Bare(nc))
		_, err = t.engine.EnrollContext(shield.Bare(nc), l)
	}
	t.mu.Lock()
	w.dial = false
	wait := w.wait
	w.wait = nil
	if err != nil {
		w.back = min(max(2*w.back, 50*time.Millisecond), backMost)
		w.next = t.tasks.Now().Add(w.back)
		t.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) && t.handlers.ConnectionRefused != nil {
			t.handlers.ConnectionRefused(addr)
		}
		return
	}
	w.back, w.link = 0, l
	t.mu.Unlock()
	for _, b := range wait {
		if l.send(b) {
			t.BytesOut.Add(uint64(len(b)))
		}
	}
}
