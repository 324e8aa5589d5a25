package register

import (
	"fmt"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// clientOperation is a client's call on one key.
type clientOperation struct {
	key            string
	write          bool
	requestID      string
	minVersion     units.Version // the highest version that had been acknowledged when the call began
	decidedVersion units.Version // version of the newest set under which a value had been chosen when the call began
}

// modelClients makes calls and checks that their answers agree with the order in which calls began and ended.
type modelClients struct {
	cluster             *modelCluster
	operations          map[uint64]*clientOperation
	firstRequests       map[string]Request          // the first request of each request id
	firstOperations     map[string]*clientOperation // the first call of each request id
	refused             map[string]bool             // request ids that were answered with a conflict
	acknowledgedVersion map[string]units.Version    // the highest acknowledged version of each key
	tag                 uint64
	writeCounts         map[string]int
	answeredReads       int
}

func newModelClients(c *modelCluster) *modelClients {
	return &modelClients{
		cluster: c, operations: map[uint64]*clientOperation{}, firstRequests: map[string]Request{}, firstOperations: map[string]*clientOperation{},
		refused: map[string]bool{}, acknowledgedVersion: map[string]units.Version{}, writeCounts: map[string]int{},
	}
}

// read starts a confirmed read at a node.
func (l *modelClients) read(n *modelNode, key string) uint64 {
	return l.submit(n, Request{Key: key})
}

// write starts a write at a node. Its value is unique, and its request id is the same as its value.
func (l *modelClients) write(n *modelNode, key string, expect units.Version) string {
	l.writeCounts[key]++
	id := fmt.Sprintf("%s-%d", key, l.writeCounts[key])
	request := Request{Key: key, Write: true, ExpectedVersion: expect, RequestID: id, Data: []byte(id)}
	l.firstRequests[id] = request
	l.submit(n, request)
	return id
}

// resubmit sends a write again under its request id, possibly through another node.
func (l *modelClients) resubmit(n *modelNode, id string) { l.submit(n, l.firstRequests[id]) }

func (l *modelClients) submit(n *modelNode, r Request) uint64 {
	if n.replica == nil {
		return 0
	}
	l.tag++
	r.Tag = l.tag
	o := &clientOperation{key: r.Key, write: r.Write, requestID: r.RequestID, minVersion: l.acknowledgedVersion[r.Key], decidedVersion: l.cluster.checker.decidedVersion}
	if r.Write {
		if l.firstOperations[r.RequestID] == nil {
			l.firstOperations[r.RequestID] = o
		}
		o = l.firstOperations[r.RequestID]
	}
	l.operations[r.Tag] = o
	detail := fmt.Sprintf("key %q write %v id %q tag %d", r.Key, r.Write, r.RequestID, r.Tag)
	l.cluster.record(modelEvent{action: "submit", node: n.id, detail: detail})
	l.cluster.perform(n, 0, func(x *Replica) message.Effects { return x.Submit(l.cluster.now, r) })
	return r.Tag
}

// checkReply checks the quorum set under which an owner acknowledges a call.
func (l *modelClients) checkReply(owner *modelNode, d decoded, decided units.Version) {
	o := l.operations[d.head.Tag]
	if o == nil || resultcode.Code(d.head.Code) != resultcode.OK {
		return
	}
	if version := owner.replica.quorum.Version; version < o.decidedVersion {
		l.cluster.checker.fail("node %d acknowledged call %d under set %d though set %d had decided before it began (now %d)",
			owner.id, d.head.Tag, version, o.decidedVersion, decided)
	}
}

// checkResult checks an answer that a client receives.
func (l *modelClients) checkResult(n *modelNode, r Result) {
	checker, o := l.cluster.checker, l.operations[r.Tag]
	if o == nil {
		return
	}
	detail := fmt.Sprintf("tag %d code %v version %d data %q", r.Tag, r.Code, int64(r.Version), r.Data)
	l.cluster.record(modelEvent{action: "answer", node: n.id, detail: detail})
	switch {
	case r.Code == resultcode.VersionConflict && o.write:
		l.refused[o.requestID] = true
		for num, data := range checker.chosenValues[o.key] {
			if data == o.requestID {
				checker.fail("the write %q was chosen as version %d but is refused", data, num)
			}
		}
	case r.Code == resultcode.OK && o.write:
		if r.Version <= o.minVersion {
			checker.fail("the write %q got version %d though %d was acknowledged before it began", o.requestID, r.Version, o.minVersion)
		}
		checker.checkChosen(o.key, r.Version, o.requestID)
		l.acknowledgedVersion[o.key] = max(l.acknowledgedVersion[o.key], r.Version)
	case r.Code == resultcode.OK:
		if r.Version < o.minVersion {
			checker.fail("a read of %q got version %d though %d was acknowledged before it began", o.key, r.Version, o.minVersion)
		}
		checker.checkChosen(o.key, r.Version, string(r.Data))
		l.acknowledgedVersion[o.key] = max(l.acknowledgedVersion[o.key], r.Version)
		l.answeredReads++
	}
}
