package simulator

import (
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// interleavings calls run once for every sequence of choices and returns the number of calls. A run calls choose(n) for a
// number below n. The first depth choices are enumerated, later ones are zero.
func interleavings(depth int, run func(choose func(n int) int)) int {
	return interleavingsFrom(nil, depth, run)
}

// interleavingsFrom enumerates only the sequences that begin with the given choices. It returns 0 if a choice is out of
// range.
func interleavingsFrom(first []int, depth int, run func(choose func(n int) int)) int {
	path, widths := slices.Clone(first), []int(nil)
	for count := 1; ; count++ {
		position := 0
		widths = widths[:0]
		run(func(n int) int {
			if position >= depth || n <= 1 {
				return 0
			}
			if position == len(path) {
				path = append(path, 0)
			}
			widths = append(widths, n)
			position++
			return min(path[position-1], n-1)
		})
		for i := range first {
			if i >= len(widths) || first[i] >= widths[i] {
				return 0
			}
		}
		path = path[:position]
		for len(path) > len(first) && path[len(path)-1] == widths[len(path)-1]-1 {
			path = path[:len(path)-1]
		}
		if len(path) <= len(first) {
			return count
		}
		path[len(path)-1]++
	}
}

// messageBag is a minimal network that delivers messages in the order of the choices.
type messageBag struct {
	now       units.Time
	inFlight  []message.Message
	handlers  map[units.NodeID]func(message.Message) message.Effects
	delayNext func() bool // reports whether to delay the next message until after this round; nil for never
	delayed   []message.Message
}

// send adds the messages of a step to those in flight.
func (b *messageBag) send(from units.NodeID, effects message.Effects) {
	for _, m := range append(effects.Messages, effects.AfterSync...) {
		m.From = from
		// Pings between voters do not affect these tests and would multiply the interleavings.
		if b.handlers[m.To] != nil && m.Kind != register.Ping && m.Kind != register.Pong {
			b.inFlight = append(b.inFlight, m)
		}
	}
}

// deliverAll delivers messages in the chosen order, up to 400, and calls each after every delivery.
func (b *messageBag) deliverAll(choose func(int) int, each func()) {
	for k := 0; len(b.inFlight) > 0 && k < 400; k++ {
		i := choose(len(b.inFlight))
		m := b.inFlight[i]
		b.inFlight = append(b.inFlight[:i:i], b.inFlight[i+1:]...)
		if b.delayNext != nil && b.delayNext() {
			b.delayed = append(b.delayed, m)
			continue
		}
		b.send(m.To, b.handlers[m.To](m))
		each()
	}
}

var threeNodes = []units.NodeID{1, 2, 3}

// newVoters returns three voters of one quorum set. ownerSeenBy has the owner that each voter's membership shows.
func newVoters(b *messageBag, ownerSeenBy map[units.NodeID]units.NodeID) map[units.NodeID]*register.Replica {
	replicas := map[units.NodeID]*register.Replica{}
	set := register.QuorumSet{Version: 1, Members: threeNodes}
	for _, n := range threeNodes {
		replica := register.New(n, n+100)
		if err := replica.Load([]message.Record{{Kind: register.RecordQuorum, Data: set.Pack()}}); err != nil {
			panic(err)
		}
		replica.SetEligible([]units.NodeID{ownerSeenBy[n]})
		replicas[n] = replica
		b.handlers[n] = func(msg message.Message) message.Effects { return replica.Step(b.now, msg) }
	}
	return replicas
}
