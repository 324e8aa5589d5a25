package simulator

import (
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// interleavings tries every sequence of choices one by one. A run asks choose(n) for a number below n; the first depth
// of its choices are enumerated, the later ones are zero.
func interleavings(depth int, run func(choose func(n int) int)) int {
	return interleavingsFrom(nil, depth, run)
}

// interleavingsFrom is the part of them that begins with the given choices; none if there are fewer to choose from.
func interleavingsFrom(first []int, depth int, run func(choose func(n int) int)) int {
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

// messageBag is a small net: notes on their way, delivered in the order that the choices give.
type messageBag struct {
	now       units.Time
	inFlight  []message.Message
	handlers  map[units.NodeID]func(message.Message) message.Effects
	delayNext func() bool // whether the next note is held up till after this round; nil for never
	delayed   []message.Message
}

func (b *messageBag) send(from units.NodeID, o message.Effects) {
	for _, n := range append(o.Messages, o.AfterSync...) {
		n.From = from
		// Calls between voters change nothing that these tests look at, and would multiply the orders.
		if b.handlers[n.To] != nil && n.Kind != register.Ping && n.Kind != register.Pong {
			b.inFlight = append(b.inFlight, n)
		}
	}
}

func (b *messageBag) deliverAll(choose func(int) int, each func()) {
	for k := 0; len(b.inFlight) > 0 && k < 400; k++ {
		i := choose(len(b.inFlight))
		n := b.inFlight[i]
		b.inFlight = append(b.inFlight[:i:i], b.inFlight[i+1:]...)
		if b.delayNext != nil && b.delayNext() {
			b.delayed = append(b.delayed, n)
			continue
		}
		b.send(n.To, b.handlers[n.To](n))
		each()
	}
}

var threeNodes = []units.NodeID{1, 2, 3}

// newVoters gives three voters of one set, each believing the one it is told of to be the owner.
func newVoters(b *messageBag, ownerSeenBy map[units.NodeID]units.NodeID) map[units.NodeID]*register.Replica {
	m := map[units.NodeID]*register.Replica{}
	set := register.QuorumSet{Version: 1, Members: threeNodes}
	for _, n := range threeNodes {
		x := register.New(n, n+100)
		if err := x.Load([]message.Record{{Kind: register.RecordQuorum, Data: set.Pack()}}); err != nil {
			panic(err)
		}
		x.SetEligible([]units.NodeID{ownerSeenBy[n]})
		m[n] = x
		b.handlers[n] = func(k message.Message) message.Effects { return x.Step(b.now, k) }
	}
	return m
}
