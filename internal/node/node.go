// Package node is what both programs stand on: goroutines, connections, membership and news (design 1, 4, 5).
package node

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	mrand "math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/logring"
	"seamshunt/internal/settings"
	"seamshunt/internal/tasks"
	"seamshunt/internal/units"
)

// Base holds the shared tables. Lock order: membership, configpush, control state, rules, admission queue, capacity ledger,
// idempotency claimant, disk queue, wires.
type Base struct {
	Settings  *settings.Settings
	Self      units.NodeID
	Tasks     *tasks.Group
	Transport *transport.Transport
	LogRing   *logring.Ring
	Log       *log.Logger

	GossipMu sync.Mutex
	Gossip   *membership.Gossip
	FeedMu   sync.Mutex
	Feed     *configpush.Feed

	MessageHandlers map[message.Kind]func(units.Time, message.Message) // by range of kinds, for the program's own machines
	OnResume        func(units.Time)                                   // after a freeze
	OnPeersEnded    func(units.Time, []units.NodeID)                   // processes found to have ended
	OnChange        func()                                             // news came, or membership changed
	PersistEffects  func(message.Effects)                              // disk work; nil on a router
	DroppedMessages atomic.Uint64
	open            atomic.Bool // the wires stand
	Errors          atomic.Uint64
	freezes         freezes
	stopping        atomic.Bool // servers end because they are to
	pace            tasks.Loop
	ver             atomic.Uint64 // of membership's table, as last seen
	since           atomic.Int64  // when that changed
}

// RandomID gives a fresh id.
func RandomID() units.NodeID {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return units.NodeID(binary.LittleEndian.Uint64(b[:]) | 1)
}

// New builds the tables; Start brings them to life.
func New(b *settings.Settings, self units.NodeID, role membership.Role) *Base {
	t := &Base{Settings: b, Self: self, Tasks: tasks.New(clockwork.NewRealClock(), 4), LogRing: logring.New(512, os.Stderr),
		Feed: configpush.New(self), MessageHandlers: map[message.Kind]func(units.Time, message.Message){}}
	t.Log = &log.Logger{Handler: t.LogRing, Level: log.DebugLevel}
	me := membership.Member{Node: self, Incarnation: uint64(time.Now().UnixMilli()), Role: role, Addr: b.Addr, HTTPAddr: b.HTTPAddr, Zone: b.Zone}
	t.Gossip = membership.New(me, b.Seeds, mrand.New(mrand.NewPCG(uint64(RandomID()), 0)))
	return t
}

// Start opens the wires and begins the common loops.
func (t *Base) Start() error {
	tel, err := transport.Open(t.Self, t.Settings.Addr, t.Tasks, transport.Handlers{Receive: t.take, ConnectionRefused: t.refused,
		ListenerFailed: func(err error) { t.Log.WithError(err).Error("the listener for other nodes ended; it is opened again") }})
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	t.Transport = tel
	t.freezes.start(t.Tasks.Now(), t.Settings.Bounds.CatchUp)
	t.open.Store(true)
	t.pace.Start(t.Tasks, often, t.beat)
	return nil
}

// beat is all that goes by the clock; it gives how long the next may wait.
func (t *Base) beat(now units.Time) time.Duration {
	if gap := t.freezes.beat(now); gap > 0 && t.OnResume != nil {
		t.Log.WithField("gap", gap).Error("woke from a freeze: nothing held before is trusted")
		t.OnResume(now)
	}
	t.FeedMu.Lock()
	sum := t.Feed.Digest
	t.FeedMu.Unlock()
	t.GossipMu.Lock()
	t.Gossip.FeedDigest = sum
	out := t.Gossip.Tick(now)
	all, ver, asking := t.Gossip.All(), t.Gossip.Version(), t.Gossip.ProbePending(now)
	t.GossipMu.Unlock()
	if t.saw(now, ver) {
		for _, m := range all {
			t.Transport.SetAddr(m.Node, m.Addr)
		}
	}
	t.FeedMu.Lock()
	out.Append(t.Feed.PushAndPull(now, all, t.Self))
	t.FeedMu.Unlock()
	t.Deliver(out)
	if asking || !t.MembershipStable(now) {
		return often
	}
	return IdleInterval
}

// take is called on the wires' loop and only passes the note to a goroutine of the group. One that comes before the wires stand here is
// lost, as on any net.
func (t *Base) take(n message.Message) {
	if !t.open.Load() || !t.Tasks.Do(func() { t.step(n) }) {
		t.DroppedMessages.Add(1)
	}
}

func (t *Base) step(n message.Message) {
	now := t.Tasks.Now()
	switch n.Kind &^ 15 {
	case message.KindMembership:
		t.GossipMu.Lock()
		out := t.Gossip.Step(now, n)
		m, ok := t.Gossip.Get(n.From)
		ver := t.Gossip.Version()
		t.GossipMu.Unlock()
		if ok {
			t.Transport.SetAddr(m.Node, m.Addr)
		}
		t.Deliver(out)
		if ver != t.ver.Load() {
			t.pace.By(often)
		}
	case message.KindConfigPush:
		t.FeedMu.Lock()
		out := t.Feed.Step(now, n)
		fresh := len(t.Feed.Changes) > 0
		t.FeedMu.Unlock()
		t.Deliver(out)
		if fresh {
			t.moved()
		}
	default:
		if f := t.MessageHandlers[n.Kind&^15]; f != nil {
			f(now, n)
		}
	}
}

// Deliver sends what a step gave out and looks at its errors once.
func (t *Base) Deliver(out message.Effects) {
	for _, n := range out.Messages {
		t.Transport.Send(n)
	}
	if t.PersistEffects != nil && len(out.Writes)+len(out.AfterSync) > 0 {
		t.PersistEffects(out)
	} else {
		for _, n := range out.AfterSync {
			t.Transport.Send(n)
		}
	}
	for _, err := range out.Errors {
		t.Errors.Add(1)
		t.Log.WithError(err).Warn("bad note")
	}
}

func (t *Base) refused(addr string) {
	now := t.Tasks.Now()
	t.GossipMu.Lock()
	l := t.Gossip.ConnectionRefused(now, addr)
	t.GossipMu.Unlock()
	if len(l) > 0 && t.OnPeersEnded != nil {
		t.OnPeersEnded(now, l)
	}
}

// Reload takes a boot file that has changed: only the seeds may be others.
func (t *Base) Reload(b *settings.Settings) {
	t.GossipMu.Lock()
	t.Gossip.SetSeeds(b.Seeds)
	t.GossipMu.Unlock()
}

// SetFlag sets what this node says of itself.
func (t *Base) SetFlag(f uint16, on bool) {
	t.GossipMu.Lock()
	t.Gossip.SetFlag(f, on)
	t.GossipMu.Unlock()
}

// Members lists all members.
func (t *Base) Members() []membership.Member {
	t.GossipMu.Lock()
	defer t.GossipMu.Unlock()
	return t.Gossip.All()
}

// Leave tells the others and closes the wires.
func (t *Base) Leave() {
	t.GossipMu.Lock()
	out := t.Gossip.Leave()
	t.GossipMu.Unlock()
	t.Deliver(out)
	t.Tasks.Sleep(100 * time.Millisecond) // lets the goodbye leave the machine
	t.Transport.Close()
	t.Tasks.Stop(400 * time.Millisecond) // a dial under way may hang as the wires close; the grace does not wait for it
}
