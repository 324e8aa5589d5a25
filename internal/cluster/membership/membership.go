// Package membership keeps the table of live processes by gossip: periodic probes, indirect probes through other members,
// and suspicion before removal (docs/design.md, section 5).
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// State is a member's state as this node sees it.
type State uint8

// The states. At the same incarnation the higher one wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// Role is the program that a member runs.
type Role uint8

// The roles.
const (
	Router Role = 1 + iota
	Controller
)

// Flags that a member announces about itself.
const (
	Draining  uint16 = 1 << iota
	DiskUnfit        // a controller whose disk is currently not fit for ownership of a key
	Ready            // a router that serves requests
	Voter            // a controller that is in the newest quorum set it knows
	DiskFull         // a controller whose disk is full
	MayVote          // a controller whose disk may vote (docs/design.md, section 13)
	Bootstrap        // a controller of the system's first start, according to its settings file or its disk
)

// Member is an entry of the membership table: one process.
type Member struct {
	Node         units.NodeID
	Incarnation  uint64
	State        State
	Role         Role
	Flags        uint16
	Addr         string
	HTTPAddr     string
	Zone         string
	FeedDigest   uint64     // digest of its configpush feed, as it last announced
	FeedDigestAt units.Time // when this node received FeedDigest
	stateSince   units.Time
}

// Intervals and timeouts of probing.
const (
	probeInterval         = 400 * time.Millisecond
	indirectProbeAfter    = 150 * time.Millisecond
	suspicionTimeout      = 1500 * time.Millisecond
	removeAfter           = 10 * time.Minute
	introInterval         = time.Second
	isolatedIntroInterval = 100 * time.Millisecond // introInterval while no other member is known
	fullTableInterval     = time.Second
)

// relayedProbe is a probe sent on behalf of another node.
type relayedProbe struct {
	requester units.NodeID
	seq       uint64
	sentAt    units.Time
}

// Gossip is one node's membership state machine: its table, its probes and the changes that it still has to broadcast. It
// isn't safe for concurrent use.
type Gossip struct {
	Self            units.NodeID
	FeedDigest      uint64
	members         map[units.NodeID]*Member
	sortedIDs       []units.NodeID // keys of members in order; nil after a change
	snapshot        []Member       // result of the last call of All; nil after a change
	tableDigest     uint64         // digest of the live members, if digestValid
	digestValid     bool
	version         uint64
	seeds           []string
	rng             *rand.Rand
	probeOrder      []units.NodeID
	lastSeq         uint64
	probeTarget     units.NodeID
	probeSeq        uint64
	probedAt        units.Time
	indirectSent    bool
	relayed         map[uint64]relayedProbe
	broadcastsLeft  map[units.NodeID]int // how many more messages carry each changed member
	fullTableSentAt units.Time           // when the full table was last sent because digests differed
	introducedAt    units.Time
}

// New returns a table that contains only self, and contacts the seeds.
func New(self Member, seeds []string, rng *rand.Rand) *Gossip {
	m := &Gossip{Self: self.Node, members: map[units.NodeID]*Member{}, seeds: seeds, rng: rng,
		relayed: map[uint64]relayedProbe{}, broadcastsLeft: map[units.NodeID]int{}}
	m.members[self.Node] = &self
	m.probedAt = -units.Time(probeInterval)
	m.introducedAt = -units.Time(introInterval)
	return m
}

// SetSeeds replaces the addresses of the seeds.
func (m *Gossip) SetSeeds(l []string) { m.seeds = slices.Clone(l) }

// SetFlag sets or clears one of this node's own flags.
func (m *Gossip) SetFlag(f uint16, on bool) {
	self := m.members[m.Self]
	old := self.Flags
	if on {
		self.Flags |= f
	} else {
		self.Flags &^= f
	}
	if self.Flags != old {
		self.Incarnation++
		m.invalidate()
	}
}

// Get returns a member by its id.
func (m *Gossip) Get(n units.NodeID) (Member, bool) {
	x, ok := m.members[n]
	if !ok {
		return Member{}, false
	}
	return *x, true
}

// Tick sends the probes that are due and applies the timeouts.
func (m *Gossip) Tick(now units.Time) (out message.Effects) {
	if m.probeTarget != 0 && !m.indirectSent && now.Sub(m.probedAt) >= indirectProbeAfter {
		m.indirectSent = true
		for _, x := range m.randomPeers(3, m.probeTarget) {
			out.Send(x, IndirectProbe, m.encode(m.probeSeq, m.probeTarget, false))
		}
	}
	for _, x := range m.members {
		if x.State == Suspect && now.Sub(x.stateSince) >= suspicionTimeout {
			m.setState(x, Dead, now)
		}
		if x.State >= Dead && x.Node != m.Self && now.Sub(x.stateSince) > removeAfter {
			delete(m.members, x.Node)
			m.sortedIDs = nil
			m.invalidate()
		}
	}
	for s, r := range m.relayed {
		if now.Sub(r.sentAt) > 2*probeInterval {
			delete(m.relayed, s)
		}
	}
	if now.Sub(m.probedAt) >= probeInterval {
		if x := m.members[m.probeTarget]; x != nil && x.State == Alive {
			m.setState(x, Suspect, now)
		}
		m.probeTarget = 0
		if n := m.nextTarget(); n != 0 {
			m.lastSeq++
			m.probeTarget, m.probeSeq, m.probedAt, m.indirectSent = n, m.lastSeq, now, false
			out.Send(n, Probe, m.encode(m.lastSeq, 0, false))
		}
	}
	if elapsed := now.Sub(m.introducedAt); elapsed >= introInterval || elapsed >= isolatedIntroInterval && len(m.members) == 1 {
		m.introducedAt = now
		m.introduce(&out)
	}
	return out
}

// introduce contacts seeds where no live member is known, and one dead member at random, so that both sides find each
// other again after a network partition.
func (m *Gossip) introduce(out *message.Effects) {
	liveAddrs := map[string]bool{}
	var deadAddrs []string
	for _, x := range m.members {
		if x.State <= Suspect {
			liveAddrs[x.Addr] = true
		}
	}
	for _, x := range m.members {
		if x.State > Suspect && !liveAddrs[x.Addr] {
			deadAddrs = append(deadAddrs, x.Addr)
		}
	}
	slices.Sort(deadAddrs)
	targets := slices.Clone(m.seeds)
	if len(deadAddrs) > 0 {
		targets = append(targets, deadAddrs[m.rng.IntN(len(deadAddrs))])
	}
	for _, addr := range targets {
		if !liveAddrs[addr] {
			out.Messages = append(out.Messages, message.Message{Addr: addr, Kind: Probe, Body: m.encodeIntro(addr)})
		}
	}
}

// nextTarget returns the next live peer to probe. Each round probes all peers in a random order.
func (m *Gossip) nextTarget() units.NodeID {
	for range 2 {
		for len(m.probeOrder) > 0 {
			n := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if x := m.members[n]; x != nil && x.State <= Suspect {
				return n
			}
		}
		m.probeOrder = m.livePeers(0)
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return 0
}

func (m *Gossip) livePeers(except units.NodeID) []units.NodeID {
	var l []units.NodeID
	for n, x := range m.members {
		if n != m.Self && n != except && x.State <= Suspect {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

func (m *Gossip) randomPeers(count int, except units.NodeID) []units.NodeID {
	l := m.livePeers(except)
	m.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(count, len(l))]
}

func (m *Gossip) setState(x *Member, s State, now units.Time) {
	x.State, x.stateSince = s, now
	m.invalidate()
	m.broadcast(x.Node)
}
