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
	"seamshunt/internal/partition"
	"seamshunt/internal/tasks"
	"seamshunt/internal/units"
)

// peerConn is a persistent connection for sending to a peer. Messages in the other direction use the peer's own
// connection.
type peerConn struct {
	link       *link
	dialing    bool
	queued     [][]byte
	nextDialAt units.Time
	backoff    time.Duration
}

// maxQueuedFrames is how many frames a connection queues while it is being dialed; further ones are dropped.
const maxQueuedFrames = 512

// Both limits are short, so that a machine is reached again soon after it is back: neither a pending dial nor the backoff after
// failed ones should delay that by much (docs/design.md, section 4).
const (
	dialTimeout = 400 * time.Millisecond
	maxBackoff  = 250 * time.Millisecond
)

// Handlers are the callbacks of a transport. None may block.
type Handlers struct {
	Receive           func(message.Message) // called with each message for this node
	ConnectionRefused func(addr string)     // called when a peer's address refuses a connection
	ListenerFailed    func(error)           // called when the listener fails; it is reopened
}

// Transport holds a process's connections to its peers. It is safe for concurrent use.
type Transport struct {
	Self          units.NodeID
	tasks         *tasks.Group
	handlers      Handlers
	engine        *gnet.Client // the event loop of all connections
	mu            sync.Mutex   // last in the lock order: no callback is called while it is held
	listener      net.Listener // nil while none is open
	closed        bool
	conns         map[string]*peerConn
	addrs         map[units.NodeID]string
	BadFrames     atomic.Uint64
	BytesIn       atomic.Uint64
	BytesOut      atomic.Uint64
	FailedAccepts atomic.Uint64 // connections of peers that could not be accepted, for example for lack of file descriptors
}

// SetAddr sets the address of a node.
func (t *Transport) SetAddr(n units.NodeID, addr string) {
	t.mu.Lock()
	t.addrs[n] = addr
	t.mu.Unlock()
}

// Send sends a message on the connection to its recipient, dialing if there is none. A message that can't be sent is
// dropped; delivery isn't guaranteed.
func (t *Transport) Send(msg message.Message) {
	msg.From = t.Self
	if msg.To == t.Self {
		t.handlers.Receive(msg)
		return
	}
	frame := encodeFrame(msg)
	t.mu.Lock()
	addr := msg.Addr
	if addr == "" {
		addr = t.addrs[msg.To]
	}
	if addr == "" || partition.ShouldDrop(addr) {
		t.mu.Unlock()
		return
	}
	conn := t.conns[addr]
	if conn == nil {
		conn = &peerConn{}
		t.conns[addr] = conn
	}
	if l := conn.link; l != nil {
		t.mu.Unlock()
		if l.send(frame) {
			t.BytesOut.Add(uint64(len(frame)))
			return
		}
		t.mu.Lock()
		if conn.link == l {
			conn.link = nil
		}
	}
	now := t.tasks.Now()
	if now < conn.nextDialAt || len(conn.queued) >= maxQueuedFrames {
		t.mu.Unlock()
		return
	}
	conn.queued = append(conn.queued, frame)
	start := !conn.dialing
	conn.dialing = true
	t.mu.Unlock()
	if start {
		t.tasks.Go(func() { t.dial(addr, conn) })
	}
}

func (t *Transport) dial(addr string, conn *peerConn) {
	nc, err := partition.Dial(addr, dialTimeout)
	l := &link{}
	if err == nil {
		setTimeouts(partition.Unwrap(nc))
		_, err = t.engine.EnrollContext(partition.Unwrap(nc), l)
	}
	t.mu.Lock()
	conn.dialing = false
	queued := conn.queued
	conn.queued = nil
	if err != nil {
		conn.backoff = min(max(2*conn.backoff, 50*time.Millisecond), maxBackoff)
		conn.nextDialAt = t.tasks.Now().Add(conn.backoff)
		t.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) && t.handlers.ConnectionRefused != nil {
			t.handlers.ConnectionRefused(addr)
		}
		return
	}
	conn.backoff, conn.link = 0, l
	t.mu.Unlock()
	for _, b := range queued {
		if l.send(b) {
			t.BytesOut.Add(uint64(len(b)))
		}
	}
}
