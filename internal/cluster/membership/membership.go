// Package membership is membership: probes in turn, second opinions, suspicion before removal (design 5).
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// State of a member as this node sees it.
type State uint8

// Later states win at the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// Role says which program a member runs.
type Role uint8

// The two programs.
const (
	Router Role = 1 + iota
	Controller
)

// Flags a member says of itself.
const (
	Draining  uint16 = 1 << iota
	DiskUnfit        // its disk can't be trusted with ownership now
	Ready            // a router that serves
	Voter            // a controller that believes it votes
	DiskFull         // its disk has no room
	MayVote          // a controller whose disk may vote (design 13)
	Bootstrap        // a controller of the system's very first start, by its boot file or by its disk
)

// Member is one process.
type Member struct {
	Node         units.NodeID
	Incarnation  uint64
	State        State
	Role         Role
	Flags        uint16
	Addr         string
	HTTPAddr     string
	Zone         string
	FeedDigest   uint64     // digest of its news, as last told by itself
	FeedDigestAt units.Time // when it told so
	since        units.Time
}

// Rates of the probing (start values).
const (
	round    = 400 * time.Millisecond
	askAt    = 150 * time.Millisecond
	doubt    = 1500 * time.Millisecond
	forget   = 10 * time.Minute
	introAt  = time.Second
	aloneAt  = 100 * time.Millisecond // the same, while nobody is known
	wholeGap = time.Second
)

type relay struct {
	to  units.NodeID
	seq uint64
	at  units.Time
}

// Gossip is one node's state machine of membership: its table, its probes and the changes still to be told. It isn't safe
// for concurrent use.
type Gossip struct {
	Self       units.NodeID
	FeedDigest uint64
	all        map[units.NodeID]*Member
	order      []units.NodeID // of all, sorted; made anew when it changes
	kept       []Member       // what All last gave, till something changes
	digest     uint64         // of the live members, while summed holds
	summed     bool
	ver        uint64
	seeds      []string
	rng        *rand.Rand
	ring       []units.NodeID
	seq        uint64
	open       units.NodeID
	seqOf      uint64
	at         units.Time
	asked      bool
	relay      map[uint64]relay
	fresh      map[units.NodeID]int // how often each change is still to be told
	wholeAt    units.Time           // when a whole table was last sent for a digest's sake
	intro      units.Time
}

// New starts with oneself and the seeds.
func New(self Member, seeds []string, rng *rand.Rand) *Gossip {
	m := &Gossip{Self: self.Node, all: map[units.NodeID]*Member{}, seeds: seeds, rng: rng, relay: map[uint64]relay{}, fresh: map[units.NodeID]int{}}
	m.all[self.Node] = &self
	m.at = -units.Time(round)
	m.intro = -units.Time(introAt)
	return m
}

// SetSeeds names other processes to talk to from now on.
func (m *Gossip) SetSeeds(l []string) { m.seeds = slices.Clone(l) }

// SetFlag sets or clears what this node says of itself.
func (m *Gossip) SetFlag(f uint16, on bool) {
	s := m.all[m.Self]
	old := s.Flags
	if on {
		s.Flags |= f
	} else {
		s.Flags &^= f
	}
	if s.Flags != old {
		s.Incarnation++
		m.changed()
	}
}

// Get finds a member.
func (m *Gossip) Get(n units.NodeID) (Member, bool) {
	x, ok := m.all[n]
	if !ok {
		return Member{}, false
	}
	return *x, true
}

// Tick moves the probing on.
func (m *Gossip) Tick(now units.Time) (out message.Effects) {
	if m.open != 0 && !m.asked && now.Sub(m.at) >= askAt {
		m.asked = true
		for _, x := range m.pick(3, m.open) {
			out.Send(x, IndirectProbe, m.pack(m.seqOf, m.open, false))
		}
	}
	for _, x := range m.all {
		if x.State == Suspect && now.Sub(x.since) >= doubt {
			m.set(x, Dead, now)
		}
		if x.State >= Dead && x.Node != m.Self && now.Sub(x.since) > forget {
			delete(m.all, x.Node)
			m.order = nil
			m.changed()
		}
	}
	for s, r := range m.relay {
		if now.Sub(r.at) > 2*round {
			delete(m.relay, s)
		}
	}
	if now.Sub(m.at) >= round {
		if x := m.all[m.open]; x != nil && x.State == Alive {
			m.set(x, Suspect, now)
		}
		m.open = 0
		if n := m.turn(); n != 0 {
			m.seq++
			m.open, m.seqOf, m.at, m.asked = n, m.seq, now, false
			out.Send(n, Probe, m.pack(m.seq, 0, false))
		}
	}
	if gap := now.Sub(m.intro); gap >= introAt || gap >= aloneAt && len(m.all) == 1 {
		m.intro = now
		m.introduce(&out)
	}
	return out
}

// introduce talks to seeds nobody lives at, and to one node given up on, so that cuts heal.
func (m *Gossip) introduce(out *message.Effects) {
	here := map[string]bool{}
	var gone []string
	for _, x := range m.all {
		if x.State <= Suspect {
			here[x.Addr] = true
		}
	}
	for _, x := range m.all {
		if x.State > Suspect && !here[x.Addr] {
			gone = append(gone, x.Addr)
		}
	}
	slices.Sort(gone)
	to := slices.Clone(m.seeds)
	if len(gone) > 0 {
		to = append(to, gone[m.rng.IntN(len(gone))])
	}
	for _, a := range to {
		if !here[a] {
			out.Messages = append(out.Messages, message.Message{Addr: a, Kind: Probe, Body: m.packIntro(a)})
		}
	}
}

// turn gives the next neighbour of a shuffled round.
func (m *Gossip) turn() units.NodeID {
	for range 2 {
		for len(m.ring) > 0 {
			n := m.ring[0]
			m.ring = m.ring[1:]
			if x := m.all[n]; x != nil && x.State <= Suspect {
				return n
			}
		}
		m.ring = m.others(0)
		m.rng.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
	return 0
}

func (m *Gossip) others(but units.NodeID) []units.NodeID {
	var l []units.NodeID
	for n, x := range m.all {
		if n != m.Self && n != but && x.State <= Suspect {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

func (m *Gossip) pick(k int, but units.NodeID) []units.NodeID {
	l := m.others(but)
	m.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(k, len(l))]
}

func (m *Gossip) set(x *Member, s State, now units.Time) {
	x.State, x.since = s, now
	m.changed()
	m.tell(x.Node)
}
