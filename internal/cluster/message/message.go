// Package message defines the messages, disk records and step effects that all state machines share
// (docs/design.md, section 1).
package message

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"seamshunt/internal/units"
)

// Kind is the type of a message; each package owns a range of sixteen.
type Kind uint16

// The first kind of each package's range.
const (
	KindHello       Kind = 1
	KindMembership  Kind = 16
	KindRegister    Kind = 32
	KindConfigPush  Kind = 48
	KindLease       Kind = 64
	KindCapacity    Kind = 80
	KindClaim       Kind = 96
	KindAntiEntropy Kind = 112
)

// Message is a message between two processes. Addr is set only if the recipient's node id isn't known, as in a first
// message to a seed.
type Message struct {
	From, To units.NodeID
	Addr     string
	Kind     Kind
	Body     []byte
}

// Record is an entry of the write-ahead log.
type Record struct {
	Kind uint8
	Key  string
	Data []byte
}

// Effects collects the messages, writes and errors of one step. AfterSync may be sent only once Writes, and all earlier
// ones, are synced.
type Effects struct {
	Messages  []Message
	Writes    []Record
	AfterSync []Message
	Errors    []error
}

// Send adds a message that may be sent immediately.
func (o *Effects) Send(to units.NodeID, k Kind, b []byte) {
	o.Messages = append(o.Messages, Message{To: to, Kind: k, Body: b})
}

// SendAfterSync adds a message that may be sent only once the step's writes are synced.
func (o *Effects) SendAfterSync(to units.NodeID, k Kind, b []byte) {
	o.AfterSync = append(o.AfterSync, Message{To: to, Kind: k, Body: b})
}

// AddError adds an error; nil is ignored.
func (o *Effects) AddError(err error) {
	if err != nil {
		o.Errors = append(o.Errors, err)
	}
}

// Append appends all effects of p to o.
func (o *Effects) Append(p Effects) {
	o.Messages = append(o.Messages, p.Messages...)
	o.Writes = append(o.Writes, p.Writes...)
	o.AfterSync = append(o.AfterSync, p.AfterSync...)
	o.Errors = append(o.Errors, p.Errors...)
}

// Pack encodes a struct of fixed size, followed by each tail with a length prefix.
func Pack(head any, tails ...[]byte) []byte {
	b, err := binary.Append(nil, binary.LittleEndian, head)
	if err != nil {
		panic(fmt.Errorf("message: not a struct of fixed size: %w", err))
	}
	for _, t := range tails {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(t)))
		b = append(b, t...)
	}
	return b
}

// Unpack is the inverse of Pack. Missing or trailing bytes are an error.
func Unpack(b []byte, head any, tails ...*[]byte) error {
	n, err := binary.Decode(b, binary.LittleEndian, head)
	if err != nil {
		return fmt.Errorf("message: body too short: %w", err)
	}
	b = b[n:]
	for _, t := range tails {
		if len(b) < 4 {
			return errors.New("message: tail length missing")
		}
		n := binary.LittleEndian.Uint32(b)
		b = b[4:]
		if uint64(n) > uint64(len(b)) {
			return fmt.Errorf("message: tail of %d bytes, but only %d bytes left", n, len(b))
		}
		*t, b = b[:n:n], b[n:]
	}
	if len(b) != 0 {
		return fmt.Errorf("message: %d trailing bytes", len(b))
	}
	return nil
}

// PackList encodes items one after the other, each with a length prefix.
func PackList(items [][]byte) []byte {
	var b []byte
	for _, t := range items {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(t)))
		b = append(b, t...)
	}
	return b
}

// UnpackList is the inverse of PackList.
func UnpackList(b []byte) ([][]byte, error) {
	var items [][]byte
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, errors.New("message: list truncated")
		}
		n := binary.LittleEndian.Uint32(b)
		b = b[4:]
		if uint64(n) > uint64(len(b)) {
			return nil, fmt.Errorf("message: item of %d bytes, but only %d bytes left", n, len(b))
		}
		items = append(items, b[:n:n])
		b = b[n:]
	}
	return items, nil
}

// SortedKeys returns a map's keys in order, so that equal states produce equal messages and a run can be replayed from
// its seed (docs/design.md, section 1).
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
