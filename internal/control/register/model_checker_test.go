package register

import (
	"fmt"
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// epochUse names an epoch of one key; no two runs of processes may use the same.
type epochUse struct {
	key   string
	epoch units.Epoch
}

// voter names one acceptor's state of one key.
type voter struct {
	node units.NodeID
	key  string
}

// modelChecker watches everything that leaves a replica or becomes durable, and keeps the first violation.
type modelChecker struct {
	cluster   *modelCluster
	violation string
	epochs    map[epochUse]units.NodeID           // the run that prepared it
	promised  map[voter]units.Epoch               // the highest epoch that an acceptor's replies have promised
	served    map[units.NodeID]units.Version      // the newest set under which an acceptor's replies have voted on a key
	sets      map[units.Version]QuorumSet         // every set that a node has taken over
	current   units.Version                       // the newest of them
	decided   units.Version                       // the newest set under which a key was decided
	values    map[string]map[units.Version]string // chosen values of each key
	highest   map[string]units.Version            // the highest chosen number of each key
	clients   *modelClients
}

func newModelChecker(c *modelCluster, first QuorumSet) *modelChecker {
	return &modelChecker{
		cluster: c, epochs: map[epochUse]units.NodeID{}, promised: map[voter]units.Epoch{}, served: map[units.NodeID]units.Version{},
		sets: map[units.Version]QuorumSet{first.Version: first}, current: first.Version, decided: first.Version,
		values: map[string]map[units.Version]string{}, highest: map[string]units.Version{}, clients: newModelClients(c),
	}
}

func (k *modelChecker) fail(format string, args ...any) {
	if k.violation == "" {
		k.violation = fmt.Sprintf(format, args...)
		k.cluster.record(modelEvent{action: "VIOLATION", detail: k.violation})
	}
}

// decides says whether the nodes that hold something decide in a set; a joint set needs both of its halves.
func decides(set QuorumSet, holds func(units.NodeID) bool) bool {
	next := incoming(set)
	return majorityOf(set.Members, holds) && (len(next) == 0 || majorityOf(next, holds))
}

func majorityOf(members []units.NodeID, holds func(units.NodeID) bool) bool {
	count := 0
	for _, n := range members {
		if holds(n) {
			count++
		}
	}
	return 2*count > len(members)
}

// sent checks a message at the moment that it leaves a node.
func (k *modelChecker) sent(n *modelNode, m message.Message, request units.Version) {
	switch m.Kind {
	case Prepare, Promise, Accepted, Confirmed, Reply:
	default:
		return
	}
	switch d := decode(m); m.Kind {
	case Prepare:
		use := epochUse{d.key, d.head.epoch()}
		if run, ok := k.epochs[use]; ok && run != n.run {
			k.fail("epoch %v of %q is used by two runs", use.epoch, use.key)
		}
		k.epochs[use] = n.run
	case Promise, Accepted, Confirmed:
		if d.head.Ok == 1 {
			k.voted(n, m.Kind, d, request)
		}
	case Reply:
		k.clients.replied(n, d, k.decided)
		if clientOperation := k.clients.operations[d.head.Tag]; clientOperation != nil && !clientOperation.write && resultcode.Code(d.head.Code) == resultcode.OK {
			k.decidedUnder(n.replica.quorum.Version)
		}
	}
}

// prepared checks that an owner writes only in an epoch that its set has durably promised. A repeated value leaves after
// a sync and isn't meant: it may be older than the set.
func (k *modelChecker) prepared(m message.Message) {
	if m.Kind != Accept {
		return
	}
	d := decode(m)
	promised := func(id units.NodeID) bool {
		return k.everDurable(id, d.key, func(s State) bool { return !s.Promised.Less(d.head.epoch()) })
	}
	if !decides(d.set, promised) {
		k.fail("a write on %q in epoch %v that set %d hasn't promised", d.key, d.head.epoch(), d.set.Version)
	}
}

// everDurable says whether a node's durable state of a key, or that of its lost disk, is as asked for.
func (k *modelChecker) everDurable(id units.NodeID, key string, is func(State) bool) bool {
	n := k.cluster.node(id)
	if n == nil {
		return false
	}
	if n.lost {
		return is(n.lostDisk.states[key])
	}
	return is(n.disk.states[key])
}

// voted checks an acceptor's positive reply: what it says is durable, and no reply that left earlier forbids it.
func (k *modelChecker) voted(n *modelNode, kind message.Kind, d decoded, request units.Version) {
	epoch := d.head.epoch()
	v, s := voter{n.id, d.key}, n.disk.states[d.key]
	if epoch.Less(k.promised[v]) {
		k.fail("node %d voted on %q in epoch %v after it had promised %v", n.id, d.key, epoch, k.promised[v])
	}
	k.promised[v] = maxEpoch(k.promised[v], epoch)
	if s.Promised.Less(epoch) {
		k.fail("node %d's reply on %q in epoch %v isn't durable: %v", n.id, d.key, epoch, s.Promised)
	}
	if kind == Accepted && (State{Accepted: epoch, Seq: d.head.Seq}).newerThan(s) {
		k.fail("node %d's acceptance of %q in epoch %v isn't durable", n.id, d.key, epoch)
	}
	if d.key == KeyQuorum {
		return
	}
	if request < k.served[n.id] {
		k.fail("node %d voted on %q under set %d after set %d", n.id, d.key, request, k.served[n.id])
	}
	k.served[n.id] = request
}

func (s State) newerThan(o State) bool { return s.newer(&o) }

// drain takes the values that a node's replica believes chosen, and the answers to its clients.
func (k *modelChecker) drain(n *modelNode) {
	k.adopted(n.replica.quorum)
	for _, v := range n.replica.Chosen {
		if v.Key == KeyQuorum {
			set, err := UnpackQuorumSet(v.Data)
			if set.Version = v.Version; err != nil {
				k.fail("quorum set %d: %v", v.Version, err)
			}
			k.adopted(set)
			continue
		}
		k.decidedUnder(n.replica.quorum.Version)
		k.chosen(v.Key, v.Version, string(v.Data))
	}
	for _, r := range n.replica.Results {
		k.clients.answered(n, r)
	}
	n.replica.Chosen, n.replica.Results = nil, nil
}

func (k *modelChecker) decidedUnder(version units.Version) { k.decided = max(k.decided, version) }

// chosen checks a value that a majority is said to have accepted.
func (k *modelChecker) chosen(key string, num units.Version, data string) {
	if num == 0 {
		return
	}
	if k.values[key] == nil {
		k.values[key] = map[units.Version]string{}
	}
	if old, ok := k.values[key][num]; ok && old != data {
		k.fail("number %d of %q is both %q and %q", num, key, old, data)
	}
	for other, old := range k.values[key] {
		if old == data && other != num {
			k.fail("the write %q on %q was made twice, as %d and %d", data, key, other, num)
		}
	}
	if k.clients.refused[data] {
		k.fail("the write %q on %q was refused and is chosen as %d", data, key, num)
	}
	k.values[key][num] = data
	if num > k.highest[key] {
		k.highest[key] = num
		k.durableChanged()
	}
}

// adopted checks a quorum set that a node has taken over.
func (k *modelChecker) adopted(set QuorumSet) {
	if set.Version == 0 {
		return
	}
	if old, ok := k.sets[set.Version]; ok {
		if !slices.Equal(old.Members, set.Members) || !slices.Equal(incoming(old), incoming(set)) {
			k.fail("set %d is both %+v and %+v", set.Version, old, set)
		}
		return
	}
	k.sets[set.Version] = set
	previous, known := k.sets[set.Version-1]
	if !known {
		k.fail("set %d was decided without set %d", set.Version, set.Version-1)
	}
	holds := func(id units.NodeID) bool { // or did so until its disk was lost
		return k.everDurable(id, KeyQuorum, func(s State) bool { return s.Version >= set.Version })
	}
	if !decides(previous, holds) || !decides(set, holds) {
		k.fail("set %d is in force without majorities of %+v and %+v", set.Version, previous, set)
	}
	k.current = max(k.current, set.Version)
	k.durableChanged()
}

// durableChanged checks that every majority of the current set that may still be gathered holds each chosen value or a
// newer one.
func (k *modelChecker) durableChanged() {
	set := k.sets[k.current]
	for key, num := range k.highest {
		lacks := func(id units.NodeID) bool {
			n := k.cluster.node(id)
			return n != nil && !n.lost && n.disk.states[key].Version < num
		}
		if decides(set, lacks) {
			k.fail("a majority of %+v lacks number %d of %q", set, num, key)
		}
	}
}
