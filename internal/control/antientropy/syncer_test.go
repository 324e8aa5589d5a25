package antientropy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// group is a group of voters with a network that loses only messages to unresponsive ones.
type group struct {
	now           units.Time
	members       []units.NodeID
	syncers       map[units.NodeID]*Syncer
	copies        map[units.NodeID]map[string]*register.State
	unresponsive  map[units.NodeID]bool
	rejectsCopies map[units.NodeID]bool // ignores repairs
	sent          []message.Message
	repairs       int
}

func newGroup(n int) *group {
	g := &group{syncers: map[units.NodeID]*Syncer{}, copies: map[units.NodeID]map[string]*register.State{}, unresponsive: map[units.NodeID]bool{}, rejectsCopies: map[units.NodeID]bool{}}
	for i := range n {
		id := units.NodeID(i + 1)
		g.members = append(g.members, id)
		g.start(id)
	}
	return g
}

func (g *group) start(id units.NodeID) {
	g.syncers[id] = New(id, g.now, rand.New(rand.NewPCG(uint64(id), 1)))
	if g.copies[id] == nil {
		g.copies[id] = map[string]*register.State{}
	}
}

// write stores a newer value of a key at some members.
func (g *group) write(key string, n uint64, at ...units.NodeID) {
	for _, id := range at {
		g.copies[id][key] = &register.State{Accepted: units.Epoch{Number: n, Node: 1}, Seq: 1, Version: units.Version(n), Body: []byte(key)}
	}
}

// run advances the virtual time; messages arrive immediately.
func (g *group) run(duration time.Duration) {
	for end := g.now.Add(duration); g.now < end; g.now = g.now.Add(25 * time.Millisecond) {
		for _, id := range g.members {
			if !g.unresponsive[id] {
				g.deliver(id, g.syncers[id].Tick(g.now, g.members, g.copies[id]))
			}
		}
	}
}

func (g *group) deliver(from units.NodeID, out message.Effects) {
	for _, n := range out.Messages {
		n.From = from
		g.sent = append(g.sent, n)
		if g.unresponsive[n.To] {
			continue
		}
		mend := func(to units.NodeID, key string) message.Effects {
			g.repairs++
			if !g.rejectsCopies[to] {
				copied := *g.copies[n.To][key]
				g.copies[to][key] = &copied
			}
			return message.Effects{}
		}
		g.deliver(n.To, g.syncers[n.To].Step(n, g.copies[n.To], mend))
	}
}

// hasAllCopies reports whether a member has the same copies as all others.
func (g *group) hasAllCopies(id units.NodeID) bool {
	for _, other := range g.members {
		if rangeSums(g.copies[other]) != rangeSums(g.copies[id]) {
			return false
		}
	}
	return true
}

// bytesSent returns the bytes sent, with a frame header of 24 bytes for each message.
func (g *group) bytesSent() (n int) {
	for _, x := range g.sent {
		n += 24 + len(x.Body)
	}
	return n
}

// With nothing to catch up with, a member compares with each other one in turn, never with itself. It sends no more than an
// earlier version did: 152 bytes each 2 s to one of all members, which could be itself.
func TestIdleTraffic(t *testing.T) {
	for n := 3; n <= 7; n++ {
		g := newGroup(n)
		g.run(10 * time.Second)
		g.sent = nil
		const duration = 600 * time.Second
		g.run(duration)
		requests := map[units.NodeID]map[units.NodeID]int{}
		for _, x := range g.sent {
			if x.Kind != Root || x.From == x.To {
				t.Fatalf("%d members: idle, %d sent kind %d to %d", n, x.From, x.Kind, x.To)
			}
			if requests[x.From] == nil {
				requests[x.From] = map[units.NodeID]int{}
			}
			requests[x.From][x.To]++
		}
		for from, to := range requests {
			for _, id := range g.members {
				if id != from && to[id] < int(duration/Interval)/(n-1)-1 {
					t.Errorf("%d members: %d sent %d only %d requests", n, from, id, to[id])
				}
			}
		}
		perMember := float64(g.bytesSent()) / duration.Seconds() / float64(n)
		if limit := 152.0 / 2 * float64(n-1) / float64(n); perMember > limit {
			t.Errorf("%d members: %.1f bytes a second each while idle, limit %.1f", n, perMember, limit)
		} else {
			t.Logf("%d members: %.1f bytes a second each while idle, limit %.1f", n, perMember, limit)
		}
	}
}

// A member that was just started, is new in the quorum set or was unhealthy has all copies within one round of minimum
// intervals, although some of the others lack the values too or don't answer. The catch-up ends afterwards.
func TestCatchUpRound(t *testing.T) {
	reasons := map[string]func(g *group, id units.NodeID){
		"just started": func(g *group, id units.NodeID) { g.start(id) },
		"new in the quorum": func(g *group, id units.NodeID) {
			g.syncers[id].Tick(g.now, g.members[1:], nil)
		},
		"unhealthy before": func(g *group, id units.NodeID) {
			g.syncers[id].SetHealthy(false)
			g.syncers[id].SetHealthy(true)
		},
	}
	for reason, begin := range reasons {
		for n := 3; n <= 7; n++ {
			g := newGroup(n)
			g.run(10 * time.Second)
			majority := g.members[(n-1)/2:]
			for k := range 40 {
				g.write(fmt.Sprint("key", k), 5, majority...)
			}
			if n > 4 {
				g.unresponsive[g.members[n-1]] = true
			}
			g.sent = nil
			begin(g, 1)
			took := time.Duration(0)
			for ; !g.hasAllCopies(1) && took < 10*time.Second; took += 25 * time.Millisecond {
				g.run(25 * time.Millisecond)
			}
			if bound := time.Duration(n-1) * minInterval; took > bound {
				t.Errorf("%s, %d members: all copies after %v, limit %v", reason, n, took, bound)
			}
			g.run(20 * time.Second)
			if g.syncers[1].catchUp != nil {
				t.Errorf("%s, %d members: the catch-up never ends", reason, n)
			}
		}
	}
}

// A member that finds something newer at one other compares with all of them, so it also gets a value that only one of them has.
func TestCatchUpAfterFindingNewer(t *testing.T) {
	g := newGroup(5)
	g.run(10 * time.Second)
	for i, id := range g.members[1:] {
		g.write(fmt.Sprint("key", i), 5, id)
	}
	g.run(Interval + 4*minInterval + 100*time.Millisecond)
	if !g.hasAllCopies(1) {
		t.Errorf("it has %d of 4 keys", len(g.copies[1]))
	}
}

// A member that ignores repairs isn't sent all copies again and again by members that catch up, and an unhealthy member sends
// no requests.
func TestMemberThatRejectsCopiesCostsLittle(t *testing.T) {
	g := newGroup(5)
	g.run(10 * time.Second)
	g.rejectsCopies[2] = true
	g.write("config", 5, 1, 3, 4, 5)
	g.syncers[2].SetHealthy(false)
	g.repairs = 0
	g.sent = nil
	const duration = 60 * time.Second
	g.run(duration)
	for _, x := range g.sent {
		if x.From == 2 && x.Kind == Root {
			t.Fatal("an unhealthy member sends a request")
		}
	}
	if maxRepairs := int(duration/Interval) + 5; g.repairs > maxRepairs {
		t.Errorf("%d copies sent to it in %v, limit %d", g.repairs, duration, maxRepairs)
	}
}

// Messages from nodes that aren't members, and malformed ones, change nothing and are counted or reported.
func TestBadMessages(t *testing.T) {
	g := newGroup(3)
	g.run(10 * time.Second)
	g.write("config", 5, 1)
	mend := func(units.NodeID, string) message.Effects { t.Fatal("repaired"); return message.Effects{} }
	for k := message.Kind(Digests); k <= Outcome; k++ {
		if out := g.syncers[1].Step(message.Message{From: 99, Kind: k, Body: message.Pack(digests{})}, g.copies[1], mend); len(out.Messages) > 0 {
			t.Errorf("kind %d from a node that is no member is answered", k)
		}
		if out := g.syncers[1].Step(message.Message{From: 2, Kind: k}, g.copies[1], mend); len(out.Messages) > 0 || len(out.Errors) != 1 {
			t.Errorf("a malformed kind %d: %d answers, errors %v", k, len(out.Messages), out.Errors)
		}
	}
	if g.syncers[1].Ignored != 4 || g.syncers[1].catchUp != nil {
		t.Errorf("%d ignored, catching up %v", g.syncers[1].Ignored, g.syncers[1].catchUp != nil)
	}
}
