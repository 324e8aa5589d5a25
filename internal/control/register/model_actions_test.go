package register

import (
	"math/bits"
	"slices"
	"time"

	"pgregory.net/rapid"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// pick draws a number below n, each alike: rapid's ranges prefer small numbers.
func (r *randomRun) pick(n int) int {
	const spareBits = 3 // beyond those that n needs, against the remainder's bias
	number := rapid.Custom(func(t *rapid.T) int {
		drawn := 0
		for range bits.Len(uint(n)) + spareBits {
			drawn *= 2
			if rapid.Bool().Draw(t, "bit") {
				drawn++
			}
		}
		return drawn
	})
	return number.Draw(r.T, "pick") % n
}

func (r *randomRun) any() *modelNode { return r.nodes[r.pick(len(r.nodes))] }

func (r *randomRun) key() string { return []string{"a", "a", "b"}[r.pick(3)] }

func (r *randomRun) deliverAny() {
	if len(r.bag) > 0 {
		m := r.take(r.pick(len(r.bag)))
		r.deliver(m)
	}
}

func (r *randomRun) deliverSome() { r.deliverOldest(1 + r.pick(30)) }

func (r *randomRun) dropAny() {
	if len(r.bag) > 0 {
		r.take(r.pick(len(r.bag)))
	}
}

func (r *randomRun) duplicateAny() {
	if len(r.bag) > 0 {
		r.bag = append(r.bag, r.bag[r.pick(len(r.bag))])
	}
}

func (r *randomRun) tickAny() {
	r.now = r.now.Add(50 * time.Millisecond)
	r.tick(r.any())
}

func (r *randomRun) tickAll() {
	r.round([]time.Duration{resend, resend, time.Second, idle}[r.pick(4)])
}

func (r *randomRun) syncAny() { r.syncOne(r.any()) }

func (r *randomRun) crashAny() {
	n := r.any()
	r.crash(n, r.pick(len(n.queue)+1))
}

func (r *randomRun) restartAny() { r.start(r.any()) }

// loseAny destroys a disk where a majority of every set that may matter survives without it.
func (r *randomRun) loseAny() {
	n := r.any()
	if r.pick(4) != 0 {
		return
	}
	for _, members := range r.relevant() {
		if !majorityOf(members, func(id units.NodeID) bool { return id != n.id && !r.node(id).lost }) {
			return
		}
	}
	r.lose(n)
}

// relevant gives the sets in force or proposed since.
func (r *randomRun) relevant() [][]units.NodeID {
	var sets [][]units.NodeID
	for _, p := range r.proposed {
		if p.version+2 >= r.checker.current {
			sets = append(sets, p.members)
		}
	}
	for _, n := range r.nodes {
		if n.wanted != nil {
			sets = append(sets, n.wanted)
		}
	}
	for version, set := range r.checker.sets {
		if version+2 >= r.checker.current {
			sets = append(sets, set.Members)
			if next := incoming(set); len(next) > 0 {
				sets = append(sets, next)
			}
		}
	}
	return sets
}

// agree has all believe in the same one or two nodes, which may be down.
func (r *randomRun) agree() {
	eligible := []units.NodeID{r.any().id, r.any().id}
	for _, n := range r.live() {
		r.believe(n, eligible...)
	}
}

// calm lets all agree on some node, with messages delivered for a few rounds.
func (r *randomRun) calm() {
	r.agree()
	for range 1 + r.pick(4) {
		r.settle()
	}
}

// disagree has one node believe in owners of its own.
func (r *randomRun) disagree() {
	n := r.any()
	eligible := []units.NodeID{n.id}
	if r.pick(2) == 0 {
		eligible = append(eligible, r.any().id)
	}
	r.believe(n, eligible...)
}

func (r *randomRun) writeAny() {
	clients, key := r.checker.clients, r.key()
	if clients.writes[key] >= maxWrites {
		return
	}
	expect := clients.acked[key]
	if r.pick(3) == 0 {
		expect = AnyVersion
	}
	if n := r.any(); n.replica != nil {
		r.written = append(r.written, clients.write(n, key, expect))
	}
}

func (r *randomRun) rewriteAny() {
	if len(r.written) > 0 {
		r.checker.clients.rewrite(r.any(), r.written[r.pick(len(r.written))])
	}
}

func (r *randomRun) readAny() { r.checker.clients.read(r.any(), r.key()) }

// changeAny proposes a set to a node that believes to own the quorum set's key, and lets some rounds pass.
func (r *randomRun) changeAny() {
	n := r.any()
	if n.replica == nil || n.replica.Owner(KeyQuorum) != n.id {
		return
	}
	members := r.nextMembers(n.replica.quorum.Members)
	if len(members) < 2 || !majorityOf(members, func(id units.NodeID) bool { return !r.node(id).lost }) {
		return
	}
	r.proposed = append(r.proposed, proposal{members, r.checker.current})
	r.changeMembers(n, members)
	for range r.pick(5) {
		r.settle()
	}
}

// nextMembers draws a set with one member more, one fewer or one replaced; a lost one goes first.
func (r *randomRun) nextMembers(members []units.NodeID) []units.NodeID {
	members = slices.Clone(members)
	kind := r.pick(3)
	if added := r.any(); kind != 1 && !slices.Contains(members, added.id) && !added.lost {
		members = append(members, added.id)
	}
	if kind == 0 {
		return members
	}
	dropped := slices.IndexFunc(members, func(id units.NodeID) bool { return r.node(id).lost })
	if dropped < 0 {
		dropped = r.pick(len(members))
	}
	return slices.Delete(members, dropped, dropped+1)
}

// learnAny tells a node of a set that has been in force, as the news does, perhaps late.
func (r *randomRun) learnAny() {
	sets := message.SortedKeys(r.checker.sets)
	set := r.checker.sets[sets[r.pick(len(sets))]]
	r.perform(r.any(), 0, func(x *Replica) message.Effects { return x.LearnQuorum(set.Pack()) })
}

// resendAny has a node repeat a value to another, as repair does.
func (r *randomRun) resendAny() {
	from, to := r.any(), r.any()
	r.resend(from, to, []string{"a", "b", KeyQuorum}[r.pick(3)])
}
