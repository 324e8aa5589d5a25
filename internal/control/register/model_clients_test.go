package register

import (
	"fmt"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// clientOperation is a client's call on one key.
type clientOperation struct {
	key       string
	write     bool
	requestID string
	floor     units.Version // the highest number that had been acknowledged when the call began
	decided   units.Version // the newest set under which a key had been decided by then
}

// modelClients makes calls and checks their answers against the order in which calls began and ended.
type modelClients struct {
	cluster    *modelCluster
	operations map[uint64]*clientOperation
	requests   map[string]Request          // the first call of each request id
	first      map[string]*clientOperation // the same
	refused    map[string]bool             // request ids that were answered with a conflict
	acked      map[string]units.Version    // the highest acknowledged number of each key
	tag        uint64
	writes     map[string]int
	reads      int // that were answered
}

func newModelClients(c *modelCluster) *modelClients {
	return &modelClients{
		cluster: c, operations: map[uint64]*clientOperation{}, requests: map[string]Request{}, first: map[string]*clientOperation{},
		refused: map[string]bool{}, acked: map[string]units.Version{}, writes: map[string]int{},
	}
}

// read begins a confirmed read at a node.
func (l *modelClients) read(n *modelNode, key string) uint64 {
	return l.submit(n, Request{Key: key})
}

// write begins a write of a fresh value that names itself; its request id is the same.
func (l *modelClients) write(n *modelNode, key string, expect units.Version) string {
	l.writes[key]++
	id := fmt.Sprintf("%s-%d", key, l.writes[key])
	request := Request{Key: key, Write: true, ExpectedVersion: expect, RequestID: id, Data: []byte(id)}
	l.requests[id] = request
	l.submit(n, request)
	return id
}

// rewrite sends a write again under its request id, perhaps at another node.
func (l *modelClients) rewrite(n *modelNode, id string) { l.submit(n, l.requests[id]) }

func (l *modelClients) submit(n *modelNode, r Request) uint64 {
	if n.replica == nil {
		return 0
	}
	l.tag++
	r.Tag = l.tag
	o := &clientOperation{key: r.Key, write: r.Write, requestID: r.RequestID, floor: l.acked[r.Key], decided: l.cluster.checker.decided}
	if r.Write {
		if l.first[r.RequestID] == nil {
			l.first[r.RequestID] = o
		}
		o = l.first[r.RequestID]
	}
	l.operations[r.Tag] = o
	detail := fmt.Sprintf("key %q write %v id %q tag %d", r.Key, r.Write, r.RequestID, r.Tag)
	l.cluster.record(modelEvent{action: "submit", node: n.id, detail: detail})
	l.cluster.perform(n, 0, func(x *Replica) message.Effects { return x.Submit(l.cluster.now, r) })
	return r.Tag
}

// replied checks the set under which an owner acknowledges.
func (l *modelClients) replied(owner *modelNode, d decoded, decided units.Version) {
	o := l.operations[d.head.Tag]
	if o == nil || resultcode.Code(d.head.Code) != resultcode.OK {
		return
	}
	if version := owner.replica.quorum.Version; version < o.decided {
		l.cluster.checker.fail("node %d acknowledged call %d under set %d though set %d had decided before it began (now %d)",
			owner.id, d.head.Tag, version, o.decided, decided)
	}
}

// answered checks an answer that a client gets.
func (l *modelClients) answered(n *modelNode, r Result) {
	checker, o := l.cluster.checker, l.operations[r.Tag]
	if o == nil {
		return
	}
	detail := fmt.Sprintf("tag %d code %v num %d data %q", r.Tag, r.Code, int64(r.Version), r.Data)
	l.cluster.record(modelEvent{action: "answer", node: n.id, detail: detail})
	switch {
	case r.Code == resultcode.VersionConflict && o.write:
		l.refused[o.requestID] = true
		for num, data := range checker.values[o.key] {
			if data == o.requestID {
				checker.fail("the write %q was chosen as %d and is refused", data, num)
			}
		}
	case r.Code == resultcode.OK && o.write:
		if r.Version <= o.floor {
			checker.fail("the write %q got number %d though %d was acknowledged before it began", o.requestID, r.Version, o.floor)
		}
		checker.chosen(o.key, r.Version, o.requestID)
		l.acked[o.key] = max(l.acked[o.key], r.Version)
	case r.Code == resultcode.OK:
		if r.Version < o.floor {
			checker.fail("a read of %q got number %d though %d was acknowledged before it began", o.key, r.Version, o.floor)
		}
		checker.chosen(o.key, r.Version, string(r.Data))
		l.acked[o.key] = max(l.acked[o.key], r.Version)
		l.reads++
	}
}
