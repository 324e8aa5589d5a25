package register

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// The notes of control state (design 2).
const (
	Prepare = message.KindRegister + iota
	Promise
	Accept
	Accepted
	Confirm
	Confirmed
	Stale
	Forward
	Reply
	BootstrapVoteRequest
	BootstrapVote
	ListKeys
	KeyList
	Ping
	Pong
)

type head struct {
	N, By   uint64
	Seq     uint64
	Num     uint64
	Tag     uint64
	HN, HBy uint64 // the higher epoch that a refusal names
	Code    uint16
	Ok      uint8
	Write   operation
}

// operation is what a forwarded request does.
type operation uint8

const (
	opRead operation = iota
	opWrite
	opLookup
)

func (h head) epoch() units.Epoch  { return units.Epoch{Number: h.N, Node: units.NodeID(h.By)} }
func (h head) higher() units.Epoch { return units.Epoch{Number: h.HN, Node: units.NodeID(h.HBy)} }

// State is an acceptor's state of one key.
type State struct {
	Promised units.Epoch
	Accepted units.Epoch
	Seq      uint64
	Version  units.Version
	Body     []byte // as laid out by packBody; empty before the first write
}

func (s *State) newer(o *State) bool {
	return o.Accepted.Less(s.Accepted) || s.Accepted == o.Accepted && s.Seq > o.Seq
}

// Records of the wal that belong to control state.
const (
	RecordPromise uint8 = 2 + iota
	RecordAccept
	RecordQuorum
	RecordBootstrapVote
)

type slotHead struct{ N, By, Seq, Num uint64 }

func (b *Replica) savePromise(key string, s *State) message.Record {
	return message.Record{Kind: RecordPromise, Key: key, Data: message.Pack(slotHead{N: s.Promised.Number, By: uint64(s.Promised.Node)})}
}

func (b *Replica) saveAccept(key string, s *State) message.Record {
	h := slotHead{N: s.Accepted.Number, By: uint64(s.Accepted.Node), Seq: s.Seq, Num: uint64(s.Version)}
	return message.Record{Kind: RecordAccept, Key: key, Data: message.Pack(h, s.Body)}
}

// Load takes the records read back from the disk.
func (b *Replica) Load(rs []message.Record) error {
	for _, r := range rs {
		var h slotHead
		var err error
		switch r.Kind {
		case RecordPromise:
			err = message.Unpack(r.Data, &h)
			b.state(r.Key).Promised = maxEpoch(b.state(r.Key).Promised, units.Epoch{Number: h.N, Node: units.NodeID(h.By)})
		case RecordAccept:
			s := b.state(r.Key)
			if err = message.Unpack(r.Data, &h, &s.Body); err == nil {
				err = checkBody(r.Key, units.Version(h.Num), s.Body)
			}
			s.Accepted, s.Seq, s.Version = units.Epoch{Number: h.N, Node: units.NodeID(h.By)}, h.Seq, units.Version(h.Num)
			s.Promised = maxEpoch(s.Promised, s.Accepted)
		case RecordQuorum:
			b.quorum, err = UnpackQuorumSet(r.Data)
		case RecordBootstrapVote:
			b.vote = r.Data
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func maxEpoch(a, b units.Epoch) units.Epoch {
	if a.Less(b) {
		return b
	}
	return a
}

// Request is a read or a conditional write of one key, by an operator or a duty.
type Request struct {
	Tag             uint64
	From            units.NodeID
	Key             string
	Write           bool
	Lookup          bool          // with Write: only asks for its outcome; it would have built on the number Expect or a later one
	ExpectedVersion units.Version // the number it builds on; AnyNumber for whatever stands
	RequestID       string
	Data            []byte
	sure            bool // the owner has confirmed its epoch since this came
}

// AnyVersion as Request.Expect makes a write that doesn't depend on the current number.
const AnyVersion = ^units.Version(0)

// Result answers the Request of the same Tag.
type Result struct {
	Tag     uint64
	Code    resultcode.Code
	Version units.Version
	Data    []byte
}
