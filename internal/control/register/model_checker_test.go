package register

import (
	"fmt"
	"slices"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// epochUse is an epoch of one key; no two process starts may use the same one.
type epochUse struct {
	key   string
	epoch units.Epoch
}

// acceptorKey identifies one acceptor's state of one key.
type acceptorKey struct {
	node units.NodeID
	key  string
}

// modelChecker checks everything that a replica sends or writes durably, and keeps the first violation.
type modelChecker struct {
	cluster         *modelCluster
	violation       string
	epochRuns       map[epochUse]units.NodeID           // the process start that prepared each epoch
	promised        map[acceptorKey]units.Epoch         // the highest epoch that each acceptor's replies have promised
	lastVoteVersion map[units.NodeID]units.Version      // the newest set under which each acceptor's replies have voted on a key
	sets            map[units.Version]QuorumSet         // every set that a node has adopted
	current         units.Version                       // the newest of them
	decidedVersion  units.Version                       // the newest set under which a value was chosen
	chosenValues    map[string]map[units.Version]string // chosen values by key and version
	highestChosen   map[string]units.Version            // the highest chosen version of each key
	clients         *modelClients
}

func newModelChecker(c *modelCluster, first QuorumSet) *modelChecker {
	return &modelChecker{
		cluster: c, epochRuns: map[epochUse]units.NodeID{}, promised: map[acceptorKey]units.Epoch{}, lastVoteVersion: map[units.NodeID]units.Version{},
		sets: map[units.Version]QuorumSet{first.Version: first}, current: first.Version, decidedVersion: first.Version,
		chosenValues: map[string]map[units.Version]string{}, highestChosen: map[string]units.Version{}, clients: newModelClients(c),
	}
}

func (k *modelChecker) fail(format string, args ...any) {
	if k.violation == "" {
		k.violation = fmt.Sprintf(format, args...)
		k.cluster.record(modelEvent{action: "VIOLATION", detail: k.violation})
	}
}

// hasQuorum reports whether the nodes for which holds is true are a majority of a set; a joint set needs both
// majorities.
func hasQuorum(set QuorumSet, holds func(units.NodeID) bool) bool {
	next := incoming(set)
	return isMajority(set.Members, holds) && (len(next) == 0 || isMajority(next, holds))
}

func isMajority(members []units.NodeID, holds func(units.NodeID) bool) bool {
	count := 0
	for _, n := range members {
		if holds(n) {
			count++
		}
	}
	return 2*count > len(members)
}

// checkSent checks a message when it leaves a node.
func (k *modelChecker) checkSent(n *modelNode, m message.Message, request units.Version) {
	switch m.Kind {
	case Prepare, Promise, Accepted, Confirmed, Reply:
	default:
		return
	}
	switch d := decode(m); m.Kind {
	case Prepare:
		use := epochUse{d.key, d.head.epoch()}
		if run, ok := k.epochRuns[use]; ok && run != n.run {
			k.fail("epoch %v of %q is used by two process starts", use.epoch, use.key)
		}
		k.epochRuns[use] = n.run
	case Promise, Accepted, Confirmed:
		if d.head.OK == 1 {
			k.checkVote(n, m.Kind, d, request)
		}
	case Reply:
		k.clients.checkReply(n, d, k.decidedVersion)
		if clientOperation := k.clients.operations[d.head.Tag]; clientOperation != nil && !clientOperation.write && resultcode.Code(d.head.Code) == resultcode.OK {
			k.recordDecision(n.replica.quorum.Version)
		}
	}
}

// checkAccept checks that an owner writes only in an epoch that its set has durably promised. A value resent by
// repair leaves after a sync and is not checked here, since it may be older than the set.
func (k *modelChecker) checkAccept(m message.Message) {
	if m.Kind != Accept {
		return
	}
	d := decode(m)
	promised := func(id units.NodeID) bool {
		return k.everDurable(id, d.key, func(s State) bool { return !s.Promised.Less(d.head.epoch()) })
	}
	if !hasQuorum(d.set, promised) {
		k.fail("a write on %q in epoch %v that set %d hasn't promised", d.key, d.head.epoch(), d.set.Version)
	}
}

// everDurable reports whether the condition holds for a node's durable state of a key, or for that of its lost disk.
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

// checkVote checks an acceptor's positive reply: what it confirms is durable, and no earlier reply forbids it.
func (k *modelChecker) checkVote(n *modelNode, kind message.Kind, d decoded, request units.Version) {
	epoch := d.head.epoch()
	v, s := acceptorKey{n.id, d.key}, n.disk.states[d.key]
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
	if request < k.lastVoteVersion[n.id] {
		k.fail("node %d voted on %q under set %d after set %d", n.id, d.key, request, k.lastVoteVersion[n.id])
	}
	k.lastVoteVersion[n.id] = request
}

func (s State) newerThan(o State) bool { return s.newer(&o) }

// collectOutputs checks the values that a node's replica reports as chosen, and the answers to its clients.
func (k *modelChecker) collectOutputs(n *modelNode) {
	k.checkQuorumSet(n.replica.quorum)
	for _, v := range n.replica.Chosen {
		if v.Key == KeyQuorum {
			set, err := UnpackQuorumSet(v.Data)
			if set.Version = v.Version; err != nil {
				k.fail("quorum set %d: %v", v.Version, err)
			}
			k.checkQuorumSet(set)
			continue
		}
		k.recordDecision(n.replica.quorum.Version)
		k.checkChosen(v.Key, v.Version, string(v.Data))
	}
	for _, r := range n.replica.Results {
		k.clients.checkResult(n, r)
	}
	n.replica.Chosen, n.replica.Results = nil, nil
}

func (k *modelChecker) recordDecision(version units.Version) {
	k.decidedVersion = max(k.decidedVersion, version)
}

// checkChosen checks a value that a majority is reported to have accepted.
func (k *modelChecker) checkChosen(key string, version units.Version, data string) {
	if version == 0 {
		return
	}
	if k.chosenValues[key] == nil {
		k.chosenValues[key] = map[units.Version]string{}
	}
	if old, ok := k.chosenValues[key][version]; ok && old != data {
		k.fail("version %d of %q is both %q and %q", version, key, old, data)
	}
	for other, old := range k.chosenValues[key] {
		if old == data && other != version {
			k.fail("the write %q on %q was applied twice, as version %d and %d", data, key, other, version)
		}
	}
	if k.clients.refused[data] {
		k.fail("the write %q on %q was refused but is chosen as version %d", data, key, version)
	}
	k.chosenValues[key][version] = data
	if version > k.highestChosen[key] {
		k.highestChosen[key] = version
		k.checkDurability()
	}
}

// checkQuorumSet checks a quorum set that a node has adopted.
func (k *modelChecker) checkQuorumSet(set QuorumSet) {
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
	holds := func(id units.NodeID) bool { // or held it until its disk was lost
		return k.everDurable(id, KeyQuorum, func(s State) bool { return s.Version >= set.Version })
	}
	if !hasQuorum(previous, holds) || !hasQuorum(set, holds) {
		k.fail("set %d is in force without majorities of %+v and %+v", set.Version, previous, set)
	}
	k.current = max(k.current, set.Version)
	k.checkDurability()
}

// checkDurability checks that every majority of the current set that can still be formed contains each chosen value
// or a newer one.
func (k *modelChecker) checkDurability() {
	set := k.sets[k.current]
	for key, num := range k.highestChosen {
		lacks := func(id units.NodeID) bool {
			n := k.cluster.node(id)
			return n != nil && !n.lost && n.disk.states[key].Version < num
		}
		if hasQuorum(set, lacks) {
			k.fail("a majority of %+v lacks version %d of %q", set, num, key)
		}
	}
}
