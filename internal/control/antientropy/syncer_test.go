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

// A group of members with a net that loses nothing but what is sent to silent members.
type group struct {
	now     units.Time
	members []units.NodeID
	syncers map[units.NodeID]*Syncer
	copies  map[units.NodeID]map[string]*register.State
	silent  map[units.NodeID]bool
	broken  map[units.NodeID]bool // takes no copy
	sent    []message.Message
	mends   int
}

func newGroup(n int) *group {
	g := &group{syncers: map[units.NodeID]*Syncer{}, copies: map[units.NodeID]map[string]*register.State{}, silent: map[units.NodeID]bool{}, broken: map[units.NodeID]bool{}}
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

// write has some members hold a newer value of a key.
func (g *group) write(key string, n uint64, at ...units.NodeID) {
	for _, id := range at {
		g.copies[id][key] = &register.State{Accepted: units.Epoch{Number: n, Node: 1}, Seq: 1, Version: units.Version(n), Body: []byte(key)}
	}
}

// run lets virtual time go on; every message arrives at once.
func (g *group) run(span time.Duration) {
	for end := g.now.Add(span); g.now < end; g.now = g.now.Add(25 * time.Millisecond) {
		for _, id := range g.members {
			if !g.silent[id] {
				g.deliver(id, g.syncers[id].Tick(g.now, g.members, g.copies[id]))
			}
		}
	}
}

func (g *group) deliver(from units.NodeID, out message.Effects) {
	for _, n := range out.Messages {
		n.From = from
		g.sent = append(g.sent, n)
		if g.silent[n.To] {
			continue
		}
		mend := func(to units.NodeID, key string) message.Effects {
			g.mends++
			if !g.broken[to] {
				copied := *g.copies[n.To][key]
				g.copies[to][key] = &copied
			}
			return message.Effects{}
		}
		g.deliver(n.To, g.syncers[n.To].Step(n, g.copies[n.To], mend))
	}
}

// alike says whether a member holds what all of the others hold.
func (g *group) alike(id units.NodeID) bool {
	for _, other := range g.members {
		if sums(g.copies[other]) != sums(g.copies[id]) {
			return false
		}
	}
	return true
}

// bytes counts what was sent, with a frame's head of 24 bytes each.
func (g *group) bytes() (n int) {
	for _, x := range g.sent {
		n += 24 + len(x.Body)
	}
	return n
}

// At rest a member compares with each other one in turn, never with itself, and sends no more than the 152 bytes to one
// member of all, itself included, each 2 s that it sent before.
func TestRest(t *testing.T) {
	for n := 3; n <= 7; n++ {
		g := newGroup(n)
		g.run(10 * time.Second)
		g.sent = nil
		const span = 600 * time.Second
		g.run(span)
		asked := map[units.NodeID]map[units.NodeID]int{}
		for _, x := range g.sent {
			if x.Kind != Root || x.From == x.To {
				t.Fatalf("%d members: at rest %d sent kind %d to %d", n, x.From, x.Kind, x.To)
			}
			if asked[x.From] == nil {
				asked[x.From] = map[units.NodeID]int{}
			}
			asked[x.From][x.To]++
		}
		for from, to := range asked {
			for _, id := range g.members {
				if id != from && to[id] < int(span/Interval)/(n-1)-1 {
					t.Errorf("%d members: %d asked %d only %d times", n, from, id, to[id])
				}
			}
		}
		each := float64(g.bytes()) / span.Seconds() / float64(n)
		if before := 152.0 / 2 * float64(n-1) / float64(n); each > before {
			t.Errorf("%d members: %.1f bytes a second each at rest, before %.1f", n, each, before)
		} else {
			t.Logf("%d members: %.1f bytes a second each at rest, before %.1f", n, each, before)
		}
	}
}

// A member that was just started, is new in the quorum or was unhealthy holds all within one round of short pauses,
// though some of the others lack the values too or don't answer, and rests afterwards.
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
				g.silent[g.members[n-1]] = true
			}
			g.sent = nil
			begin(g, 1)
			took := time.Duration(0)
			for ; !g.alike(1) && took < 10*time.Second; took += 25 * time.Millisecond {
				g.run(25 * time.Millisecond)
			}
			if bound := time.Duration(n-1) * shortPause; took > bound {
				t.Errorf("%s, %d members: whole after %v, %v is the bound", reason, n, took, bound)
			}
			g.run(20 * time.Second)
			if g.syncers[1].catchUp != nil {
				t.Errorf("%s, %d members: it never rests", reason, n)
			}
		}
	}
}

// A member that finds something newer elsewhere asks all others, so a value that only one of them holds comes too.
func TestFindingItselfBehind(t *testing.T) {
	g := newGroup(5)
	g.run(10 * time.Second)
	for i, id := range g.members[1:] {
		g.write(fmt.Sprint("key", i), 5, id)
	}
	g.run(Interval + 4*shortPause + 100*time.Millisecond)
	if !g.alike(1) {
		t.Errorf("it holds %d of 4 keys", len(g.copies[1]))
	}
}

// A member that takes no copy is not sent all again and again by those that catch up, and one that knows itself to be
// unhealthy asks nobody.
func TestBrokenMemberCostsLittle(t *testing.T) {
	g := newGroup(5)
	g.run(10 * time.Second)
	g.broken[2] = true
	g.write("config", 5, 1, 3, 4, 5)
	g.syncers[2].SetHealthy(false)
	g.mends = 0
	g.sent = nil
	const span = 60 * time.Second
	g.run(span)
	for _, x := range g.sent {
		if x.From == 2 && x.Kind == Root {
			t.Fatal("an unhealthy member asks")
		}
	}
	if most := int(span/Interval) + 5; g.mends > most {
		t.Errorf("%d copies sent to it in %v, %d are the bound", g.mends, span, most)
	}
}

// Messages of who is no member, and malformed ones, change nothing and are counted or reported.
func TestBadMessages(t *testing.T) {
	g := newGroup(3)
	g.run(10 * time.Second)
	g.write("config", 5, 1)
	mend := func(units.NodeID, string) message.Effects { t.Fatal("mended"); return message.Effects{} }
	for k := message.Kind(Digests); k <= Outcome; k++ {
		if out := g.syncers[1].Step(message.Message{From: 99, Kind: k, Body: message.Pack(digests{})}, g.copies[1], mend); len(out.Messages) > 0 {
			t.Errorf("a stranger's kind %d is answered", k)
		}
		if out := g.syncers[1].Step(message.Message{From: 2, Kind: k}, g.copies[1], mend); len(out.Messages) > 0 || len(out.Errors) != 1 {
			t.Errorf("a malformed kind %d: %d answers, errors %v", k, len(out.Messages), out.Errors)
		}
	}
	if g.syncers[1].Ignored != 4 || g.syncers[1].catchUp != nil {
		t.Errorf("%d ignored, catching up %v", g.syncers[1].Ignored, g.syncers[1].catchUp != nil)
	}
}
