package register

import (
	"math/bits"
	"slices"
	"time"

	"pgregory.net/rapid"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// pick draws a number below n, all with the same probability; rapid's ranges prefer small numbers.
func (r *randomRun) pick(n int) int {
	const spareBits = 3 // bits beyond those that n needs, to reduce the bias of the remainder
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

func (r *randomRun) anyNode() *modelNode { return r.nodes[r.pick(len(r.nodes))] }

func (r *randomRun) anyKey() string { return []string{"a", "a", "b"}[r.pick(3)] }

func (r *randomRun) deliverAny() {
	if len(r.inFlight) > 0 {
		m := r.removeMessage(r.pick(len(r.inFlight)))
		r.deliver(m)
	}
}

func (r *randomRun) deliverSome() { r.deliverOldest(1 + r.pick(30)) }

func (r *randomRun) dropAny() {
	if len(r.inFlight) > 0 {
		r.removeMessage(r.pick(len(r.inFlight)))
	}
}

func (r *randomRun) duplicateAny() {
	if len(r.inFlight) > 0 {
		r.inFlight = append(r.inFlight, r.inFlight[r.pick(len(r.inFlight))])
	}
}

func (r *randomRun) tickAny() {
	r.now = r.now.Add(50 * time.Millisecond)
	r.tick(r.anyNode())
}

func (r *randomRun) tickAll() {
	r.tickAllAfter([]time.Duration{resendInterval, resendInterval, time.Second, idleConfirmInterval}[r.pick(4)])
}

func (r *randomRun) syncAny() { r.syncOne(r.anyNode()) }

func (r *randomRun) crashAny() {
	n := r.anyNode()
	r.crash(n, r.pick(len(n.syncQueue)+1))
}

func (r *randomRun) restartAny() { r.start(r.anyNode()) }

// loseAnyDisk destroys a disk if a majority of every relevant set survives without it.
func (r *randomRun) loseAnyDisk() {
	n := r.anyNode()
	if r.pick(4) != 0 {
		return
	}
	for _, members := range r.relevantSets() {
		if !isMajority(members, func(id units.NodeID) bool { return id != n.id && !r.node(id).lost }) {
			return
		}
	}
	r.loseDisk(n)
}

// relevantSets returns the sets that are in force, or that have been proposed since and may still take effect.
func (r *randomRun) relevantSets() [][]units.NodeID {
	var sets [][]units.NodeID
	for _, p := range r.proposed {
		if p.version+2 >= r.checker.current {
			sets = append(sets, p.members)
		}
	}
	for _, n := range r.nodes {
		if n.targetMembers != nil {
			sets = append(sets, n.targetMembers)
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

// agreeOnOwners makes all nodes regard the same one or two nodes, which may be down, as eligible owners.
func (r *randomRun) agreeOnOwners() {
	eligible := []units.NodeID{r.anyNode().id, r.anyNode().id}
	for _, n := range r.liveNodes() {
		r.setEligible(n, eligible...)
	}
}

// stabilize makes all nodes agree on the owners, and delivers messages for a few rounds.
func (r *randomRun) stabilize() {
	r.agreeOnOwners()
	for range 1 + r.pick(4) {
		r.tickAndDeliver()
	}
}

// disagreeOnOwners sets a view of the eligible owners at one node only.
func (r *randomRun) disagreeOnOwners() {
	n := r.anyNode()
	eligible := []units.NodeID{n.id}
	if r.pick(2) == 0 {
		eligible = append(eligible, r.anyNode().id)
	}
	r.setEligible(n, eligible...)
}

func (r *randomRun) writeAny() {
	clients, key := r.checker.clients, r.anyKey()
	if clients.writeCounts[key] >= maxWrites {
		return
	}
	expect := clients.acknowledgedVersion[key]
	if r.pick(3) == 0 {
		expect = AnyVersion
	}
	if n := r.anyNode(); n.replica != nil {
		r.submittedIDs = append(r.submittedIDs, clients.write(n, key, expect))
	}
}

func (r *randomRun) resubmitAny() {
	if len(r.submittedIDs) > 0 {
		r.checker.clients.resubmit(r.anyNode(), r.submittedIDs[r.pick(len(r.submittedIDs))])
	}
}

func (r *randomRun) readAny() { r.checker.clients.read(r.anyNode(), r.anyKey()) }

// changeMembersAny requests a change of members from a node that considers itself the owner of KeyQuorum, and lets some
// rounds pass.
func (r *randomRun) changeMembersAny() {
	n := r.anyNode()
	if n.replica == nil || n.replica.Owner(KeyQuorum) != n.id {
		return
	}
	members := r.nextMembers(n.replica.quorum.Members)
	if len(members) < 2 || !isMajority(members, func(id units.NodeID) bool { return !r.node(id).lost }) {
		return
	}
	r.proposed = append(r.proposed, proposal{members, r.checker.current})
	r.changeMembers(n, members)
	for range r.pick(5) {
		r.tickAndDeliver()
	}
}

// nextMembers draws a set with one member added, removed or replaced; a lost member is removed first.
func (r *randomRun) nextMembers(members []units.NodeID) []units.NodeID {
	members = slices.Clone(members)
	kind := r.pick(3)
	if added := r.anyNode(); kind != 1 && !slices.Contains(members, added.id) && !added.lost {
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

// learnAny gives a node a set that has been in force, as an update from the controllers does, possibly late.
func (r *randomRun) learnAny() {
	sets := message.SortedKeys(r.checker.sets)
	set := r.checker.sets[sets[r.pick(len(sets))]]
	r.perform(r.anyNode(), 0, func(x *Replica) message.Effects { return x.LearnQuorum(set.Pack()) })
}

// resendAny makes a node resend a value to another, as repair does.
func (r *randomRun) resendAny() {
	from, to := r.anyNode(), r.anyNode()
	r.resend(from, to, []string{"a", "b", KeyQuorum}[r.pick(3)])
}
