package register

import (
	"fmt"
	"slices"
	"strings"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// modelDisk is a log of synced records. It decodes them on its own, so that the checks don't rest on Load.
type modelDisk struct {
	log    []message.Record
	states map[string]State
	quorum QuorumSet
}

func newModelDisk() modelDisk { return modelDisk{states: map[string]State{}} }

func (d *modelDisk) write(records ...message.Record) {
	for _, r := range records {
		d.log = append(d.log, r)
		s := d.states[r.Key]
		switch r.Kind {
		case RecordPromise:
			h, _ := decodeRecord(r)
			s.Promised = units.Epoch{Number: h.N, Node: units.NodeID(h.By)}
		case RecordAccept:
			h, body := decodeRecord(r)
			s.Accepted = units.Epoch{Number: h.N, Node: units.NodeID(h.By)}
			s.Promised = maxEpoch(s.Promised, s.Accepted)
			s.Seq, s.Version, s.Body = h.Seq, units.Version(h.Num), body
		case RecordQuorum:
			d.quorum, _ = UnpackQuorumSet(r.Data)
			continue
		default:
			continue
		}
		d.states[r.Key] = s
	}
}

func decodeRecord(r message.Record) (h slotHead, body []byte) {
	var err error
	if r.Kind == RecordAccept {
		err = message.Unpack(r.Data, &h, &body)
	} else {
		err = message.Unpack(r.Data, &h)
	}
	if err != nil {
		panic(err)
	}
	return h, body
}

// records gives the log as a rewrite leaves it: the last record of each kind and key.
func (d *modelDisk) records() []message.Record {
	type place struct {
		kind uint8
		key  string
	}
	seen := map[place]bool{}
	var kept []message.Record
	for _, r := range slices.Backward(d.log) {
		if p := (place{r.Kind, r.Key}); !seen[p] {
			seen[p] = true
			kept = append(kept, r)
		}
	}
	slices.Reverse(kept)
	d.log = kept
	return slices.Clone(kept)
}

// decoded is a message between replicas, as far as the checks look at it.
type decoded struct {
	head head
	set  QuorumSet
	key  string
	body []byte
}

func decode(m message.Message) (d decoded) {
	var set, key []byte
	if message.Unpack(m.Body, &d.head, &set, &key, &d.body) != nil {
		return decoded{}
	}
	d.set, _ = UnpackQuorumSet(set)
	d.key = string(key)
	return d
}

// requestVersion gives the version of the set under which an acceptor is asked, zero for other messages.
func requestVersion(m message.Message) units.Version {
	if m.Kind != Prepare && m.Kind != Accept && m.Kind != Confirm {
		return 0
	}
	return decode(m).set.Version
}

// modelEvent is one line of a trace.
type modelEvent struct {
	action  string
	node    units.NodeID
	message message.Message
	nodes   []units.NodeID
	detail  string
}

var kindNames = map[message.Kind]string{
	Prepare: "Prepare", Promise: "Promise", Accept: "Accept", Accepted: "Accepted", Confirm: "Confirm",
	Confirmed: "Confirmed", Stale: "Stale", Forward: "Forward", Reply: "Reply", ListKeys: "ListKeys", KeyList: "KeyList",
}

func (e modelEvent) String() string {
	text := fmt.Sprintf("%-14s %d %s", e.action, e.node, e.detail)
	if e.nodes != nil {
		text += fmt.Sprint(e.nodes)
	}
	if e.message.Kind == 0 {
		return text
	}
	d := decode(e.message)
	return fmt.Sprintf("%s%s from %d key %q epoch %d.%d seq %d num %d ok %d code %d tag %x set %d data %q", text,
		kindNames[e.message.Kind], e.message.From, d.key, d.head.N, d.head.By, d.head.Seq, int64(d.head.Num), d.head.Ok,
		d.head.Code, d.head.Tag, d.set.Version, Data(d.body))
}

func (c *modelCluster) record(e modelEvent) { c.events = append(c.events, e) }

// trace gives all events so far, one a line.
func (c *modelCluster) trace() string {
	lines := make([]string, len(c.events))
	for i, e := range c.events {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}
