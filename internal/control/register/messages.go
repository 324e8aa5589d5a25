package register

import (
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Kinds of messages between replicas (docs/design.md, section 2).
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

// header is the first part of every message except Ping and Pong. Its fields are encoded in this order.
type header struct {
	EpochNumber, EpochNode   uint64
	Seq                      uint64
	Version                  uint64
	Tag                      uint64
	HigherNumber, HigherNode uint64 // refusal: the higher epoch promised; Promise: the epoch of the accepted value
	Code                     uint16
	OK                       uint8
	Operation                operation
}

// operation is the kind of a forwarded request.
type operation uint8

const (
	opRead operation = iota
	opWrite
	opLookup
)

func (h header) epoch() units.Epoch {
	return units.Epoch{Number: h.EpochNumber, Node: units.NodeID(h.EpochNode)}
}

func (h header) higher() units.Epoch {
	return units.Epoch{Number: h.HigherNumber, Node: units.NodeID(h.HigherNode)}
}

// State is an acceptor's state of one key.
type State struct {
	Promised units.Epoch
	Accepted units.Epoch
	Seq      uint64
	Version  units.Version
	Body     []byte // encoded by packBody; empty before the first write
}

func (s *State) newer(o *State) bool {
	return o.Accepted.Less(s.Accepted) || s.Accepted == o.Accepted && s.Seq > o.Seq
}

// Kinds of the write-ahead log's records that the register writes.
const (
	RecordPromise uint8 = 2 + iota
	RecordAccept
	RecordQuorum
	RecordBootstrapVote
)

type recordHeader struct{ EpochNumber, EpochNode, Seq, Version uint64 }

func (b *Replica) promiseRecord(key string, s *State) message.Record {
	return message.Record{
		Kind: RecordPromise, Key: key,
		Data: message.Pack(recordHeader{EpochNumber: s.Promised.Number, EpochNode: uint64(s.Promised.Node)}),
	}
}

func (b *Replica) acceptRecord(key string, s *State) message.Record {
	h := recordHeader{EpochNumber: s.Accepted.Number, EpochNode: uint64(s.Accepted.Node), Seq: s.Seq, Version: uint64(s.Version)}
	return message.Record{Kind: RecordAccept, Key: key, Data: message.Pack(h, s.Body)}
}

// Load restores the replica from the records of its disk.
func (b *Replica) Load(records []message.Record) error {
	for _, record := range records {
		var h recordHeader
		var err error
		switch record.Kind {
		case RecordPromise:
			err = message.Unpack(record.Data, &h)
			b.state(record.Key).Promised = maxEpoch(b.state(record.Key).Promised,
				units.Epoch{Number: h.EpochNumber, Node: units.NodeID(h.EpochNode)})
		case RecordAccept:
			state := b.state(record.Key)
			if err = message.Unpack(record.Data, &h, &state.Body); err == nil {
				err = checkBody(record.Key, units.Version(h.Version), state.Body)
			}
			state.Accepted, state.Seq, state.Version =
				units.Epoch{Number: h.EpochNumber, Node: units.NodeID(h.EpochNode)}, h.Seq, units.Version(h.Version)
			state.Promised = maxEpoch(state.Promised, state.Accepted)
		case RecordQuorum:
			b.quorum, err = UnpackQuorumSet(record.Data)
		case RecordBootstrapVote:
			b.bootstrapVote = record.Data
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

// Request is a read or a conditional write of one key, made by an operator or by a controller itself.
type Request struct {
	Tag             uint64
	From            units.NodeID
	Key             string
	Write           bool
	Lookup          bool          // with Write: only queries the outcome of a write based on ExpectedVersion or later
	ExpectedVersion units.Version // the version that the write is based on; AnyVersion for an unconditional write
	RequestID       string
	Data            []byte
	epochConfirmed  bool // the owner has confirmed its epoch since the request arrived
}

// AnyVersion as Request.ExpectedVersion makes a write unconditional.
const AnyVersion = ^units.Version(0)

// Result is the answer to the Request with the same Tag.
type Result struct {
	Tag     uint64
	Code    resultcode.Code
	Version units.Version
	Data    []byte
}
