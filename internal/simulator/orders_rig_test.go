package simulator

import (
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// orders tries every sequence of choices one by one. A run asks choose(n) for a number below n; the first depth
// of its choices are enumerated, the later ones are zero.
func orders(depth int, run func(choose func(n int) int)) int { return ordersUnder(nil, depth, run) }

// ordersUnder is the part of them that begins with the given choices; none if there are fewer to choose from.
func ordersUnder(first []int, depth int, run func(choose func(n int) int)) int {
	path, width := slices.Clone(first), []int(nil)
	for count := 1; ; count++ {
		at := 0
		width = width[:0]
		run(func(n int) int {
			if at >= depth || n <= 1 {
				return 0
			}
			if at == len(path) {
				path = append(path, 0)
			}
			width = append(width, n)
			at++
			return min(path[at-1], n-1)
		})
		for i := range first {
			if i >= len(width) || first[i] >= width[i] {
				return 0
			}
		}
		path = path[:at]
		for len(path) > len(first) && path[len(path)-1] == width[len(path)-1]-1 {
			path = path[:len(path)-1]
		}
		if len(path) <= len(first) {
			return count
		}
		path[len(path)-1]++
	}
}

// bag is a small net: notes on their way, delivered in the order that the choices give.
type bag struct {
	now   units.Time
	notes []message.Message
	step  map[units.NodeID]func(message.Message) message.Effects
	hold  func() bool // whether the next note is held up till after this round; nil for never
	late  []message.Message
}

func (b *bag) put(from units.NodeID, o message.Effects) {
	for _, n := range append(o.Messages, o.AfterSync...) {
		n.From = from
		// Calls between voters change nothing that these tests look at, and would multiply the orders.
		if b.step[n.To] != nil && n.Kind != register.Ping && n.Kind != register.Pong {
			b.notes = append(b.notes, n)
		}
	}
}

func (b *bag) run(choose func(int) int, each func()) {
	for k := 0; len(b.notes) > 0 && k < 400; k++ {
		i := choose(len(b.notes))
		n := b.notes[i]
		b.notes = append(b.notes[:i:i], b.notes[i+1:]...)
		if b.hold != nil && b.hold() {
			b.late = append(b.late, n)
			continue
		}
		b.put(n.To, b.step[n.To](n))
		each()
	}
}

var three = []units.NodeID{1, 2, 3}

// voted gives three voters of one set, each believing the one it is told of to be the owner.
func voted(b *bag, believe map[units.NodeID]units.NodeID) map[units.NodeID]*register.Replica {
	m := map[units.NodeID]*register.Replica{}
	set := register.QuorumSet{Version: 1, Members: three}
	for _, n := range three {
		x := register.New(n, n+100)
		if err := x.Load([]message.Record{{Kind: register.RecordQuorum, Data: set.Pack()}}); err != nil {
			panic(err)
		}
		x.SetEligible([]units.NodeID{believe[n]})
		m[n] = x
		b.step[n] = func(k message.Message) message.Effects { return x.Step(b.now, k) }
	}
	return m
}
