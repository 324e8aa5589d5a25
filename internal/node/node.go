// Package node holds what routers and controllers share: goroutines, connections, membership and pushed updates
// (docs/design.md, sections 1, 4 and 5).
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

// Base is the shared part of a router and a controller. Lock order: membership, configpush, control state, rules,
// admission queue, capacity ledger, idempotency claimant, disk queue, transport.
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

	MessageHandlers     map[message.Kind]func(units.Time, message.Message) // of the program itself, by the first kind of each range of 16
	OnResume            func(units.Time)                                   // called after a pause of the process
	OnPeersEnded        func(units.Time, []units.NodeID)                   // called with peers whose processes were found to have ended
	OnChange            func()                                             // called after an update or a change of membership
	PersistEffects      func(message.Effects)                              // queues writes and the messages that wait for them; nil on a router
	DroppedMessages     atomic.Uint64
	transportOpen       atomic.Bool // Transport is set
	Errors              atomic.Uint64
	pauses              pauseDetector
	stopping            atomic.Bool // servers are expected to end
	tickLoop            tasks.Loop
	membershipVersion   atomic.Uint64 // version of the membership table, as last seen
	membershipChangedAt atomic.Int64  // when membershipVersion last changed
}

// RandomID returns a new random ID.
func RandomID() units.NodeID {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return units.NodeID(binary.LittleEndian.Uint64(b[:]) | 1)
}

// New returns the shared part of a process. It does nothing before Start.
func New(nodeSettings *settings.Settings, self units.NodeID, role membership.Role) *Base {
	t := &Base{Settings: nodeSettings, Self: self, Tasks: tasks.New(clockwork.NewRealClock(), 4), LogRing: logring.New(512, os.Stderr),
		Feed: configpush.New(self), MessageHandlers: map[message.Kind]func(units.Time, message.Message){}}
	t.Log = &log.Logger{Handler: t.LogRing, Level: log.DebugLevel}
	member := membership.Member{Node: self, Incarnation: uint64(time.Now().UnixMilli()), Role: role, Addr: nodeSettings.Addr, HTTPAddr: nodeSettings.HTTPAddr, Zone: nodeSettings.Zone}
	t.Gossip = membership.New(member, nodeSettings.Seeds, mrand.New(mrand.NewPCG(uint64(RandomID()), 0)))
	return t
}

// Start opens the transport and starts the tick loop.
func (t *Base) Start() error {
	opened, err := transport.Open(t.Self, t.Settings.Addr, t.Tasks, transport.Handlers{Receive: t.receive, ConnectionRefused: t.peerRefused,
		ListenerFailed: func(err error) { t.Log.WithError(err).Error("the listener for other nodes failed; reopening it") }})
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	t.Transport = opened
	t.pauses.start(t.Tasks.Now(), t.Settings.Bounds.CatchUp)
	t.transportOpen.Store(true)
	t.tickLoop.Start(t.Tasks, activeInterval, t.tick)
	return nil
}

// tick does all periodic work and returns the interval to the next tick.
func (t *Base) tick(now units.Time) time.Duration {
	if gap := t.pauses.tick(now); gap > 0 && t.OnResume != nil {
		t.Log.WithField("gap", gap).Error("the process resumed after a pause: state from before it is not trusted")
		t.OnResume(now)
	}
	t.FeedMu.Lock()
	sum := t.Feed.Digest
	t.FeedMu.Unlock()
	t.GossipMu.Lock()
	t.Gossip.FeedDigest = sum
	effects := t.Gossip.Tick(now)
	members, version, asking := t.Gossip.All(), t.Gossip.Version(), t.Gossip.ProbePending(now)
	t.GossipMu.Unlock()
	if t.updateMembershipVersion(now, version) {
		for _, m := range members {
			t.Transport.SetAddr(m.Node, m.Addr)
		}
	}
	t.FeedMu.Lock()
	effects.Append(t.Feed.PushAndPull(now, members, t.Self))
	t.FeedMu.Unlock()
	t.Deliver(effects)
	if asking || !t.MembershipStable(now) {
		return activeInterval
	}
	return IdleInterval
}

// receive is called on the transport's loop and only passes the message to a goroutine of the group. A message that
// arrives before the transport is set is lost, as messages may be on any network.
func (t *Base) receive(n message.Message) {
	if !t.transportOpen.Load() || !t.Tasks.Do(func() { t.handle(n) }) {
		t.DroppedMessages.Add(1)
	}
}

func (t *Base) handle(n message.Message) {
	now := t.Tasks.Now()
	switch n.Kind &^ 15 {
	case message.KindMembership:
		t.GossipMu.Lock()
		effects := t.Gossip.Step(now, n)
		m, ok := t.Gossip.Get(n.From)
		version := t.Gossip.Version()
		t.GossipMu.Unlock()
		if ok {
			t.Transport.SetAddr(m.Node, m.Addr)
		}
		t.Deliver(effects)
		if version != t.membershipVersion.Load() {
			t.tickLoop.By(activeInterval)
		}
	case message.KindConfigPush:
		t.FeedMu.Lock()
		effects := t.Feed.Step(now, n)
		updated := len(t.Feed.Changes) > 0
		t.FeedMu.Unlock()
		t.Deliver(effects)
		if updated {
			t.notifyChange()
		}
	default:
		if handler := t.MessageHandlers[n.Kind&^15]; handler != nil {
			handler(now, n)
		}
	}
}

// Deliver sends the messages of a step, queues its writes, and counts and logs its errors.
func (t *Base) Deliver(effects message.Effects) {
	for _, n := range effects.Messages {
		t.Transport.Send(n)
	}
	if t.PersistEffects != nil && len(effects.Writes)+len(effects.AfterSync) > 0 {
		t.PersistEffects(effects)
	} else {
		for _, n := range effects.AfterSync {
			t.Transport.Send(n)
		}
	}
	for _, err := range effects.Errors {
		t.Errors.Add(1)
		t.Log.WithError(err).Warn("invalid message")
	}
}

func (t *Base) peerRefused(addr string) {
	now := t.Tasks.Now()
	t.GossipMu.Lock()
	ended := t.Gossip.ConnectionRefused(now, addr)
	t.GossipMu.Unlock()
	if len(ended) > 0 && t.OnPeersEnded != nil {
		t.OnPeersEnded(now, ended)
	}
}

// Reload applies changed settings. Only the seeds can change while a process runs.
func (t *Base) Reload(newSettings *settings.Settings) {
	t.GossipMu.Lock()
	t.Gossip.SetSeeds(newSettings.Seeds)
	t.GossipMu.Unlock()
}

// SetFlag sets or clears a flag of this node in the membership table.
func (t *Base) SetFlag(f uint16, on bool) {
	t.GossipMu.Lock()
	t.Gossip.SetFlag(f, on)
	t.GossipMu.Unlock()
}

// Members returns all members.
func (t *Base) Members() []membership.Member {
	t.GossipMu.Lock()
	defer t.GossipMu.Unlock()
	return t.Gossip.All()
}

// Leave tells the other members that this node leaves, closes the transport and stops the goroutines.
func (t *Base) Leave() {
	t.GossipMu.Lock()
	effects := t.Gossip.Leave()
	t.GossipMu.Unlock()
	t.Deliver(effects)
	t.Tasks.Sleep(100 * time.Millisecond) // lets the leave messages be sent
	t.Transport.Close()
	t.Tasks.Stop(400 * time.Millisecond) // a pending dial may hang when the transport closes; the shutdown doesn't wait for it
}
