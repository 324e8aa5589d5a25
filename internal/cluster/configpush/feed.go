// Package configpush distributes versioned values to every node and tracks acknowledgements (docs/design.md, section 4).
package configpush

import (
	"cmp"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The messages of configpush.
const (
	Push = message.KindConfigPush + iota
	Ack
	Pull
	ConfirmRequest
	ConfirmReply
)

const (
	retryInterval = 300 * time.Millisecond
	relayCount    = 3
)

// versionHeader precedes a key, and its value in a push.
type versionHeader struct{ Version uint64 }

// confirmHeader marks a request for confirmation, and the replies to it, with the time on the requester's clock.
type confirmHeader struct{ AskedAt uint64 }

// Item is the newest value of a key.
type Item struct {
	Key        string
	Version    units.Version
	Data       []byte
	ReceivedAt units.Time // when this node received it; not sent to others
}

// pendingPush is a version that some nodes haven't acknowledged yet.
type pendingPush struct {
	unacked map[units.NodeID]bool
	sentAt  units.Time
	version units.Version
}

// Feed is one node's state machine for the versioned values that all nodes hold: the values, the pending pushes and the
// acknowledgements. It isn't safe for concurrent use.
type Feed struct {
	Items           map[string]*Item
	Digest          uint64
	Changes         []Item                                    // items applied since the program last emptied the list
	Acks            map[string]map[units.NodeID]units.Version // on the node that pushes: versions acknowledged, by key and node
	requestedAt     map[units.NodeID]units.Time               // when each peer was last sent a Pull
	confirmAskedAt  units.Time
	selfSalt        string                          // this node's id, a salt for choosing relay targets
	pending         map[string]*pendingPush         // pushes not acknowledged by all nodes yet, by key
	Confirmations   map[units.NodeID]confirmation   // replies to a starting node's requests
	StoredVersions  func() map[string]units.Version // returns the versions on a controller's disk; nil on a router
	lastDigest      uint64                          // the digest at the last call of PushAndPull
	digestChangedAt units.Time                      // when lastDigest last changed
	relayDue        bool                            // a peer pushed something new since the last tick
}

// New returns an empty feed.
func New(self units.NodeID) *Feed {
	return &Feed{selfSalt: self.String(), Items: map[string]*Item{}, Acks: map[string]map[units.NodeID]units.Version{},
		requestedAt: map[units.NodeID]units.Time{}, pending: map[string]*pendingPush{}, Confirmations: map[units.NodeID]confirmation{}}
}

// Apply stores an item and reports whether its version is newer than the one held. Versions never decrease.
func (f *Feed) Apply(it Item) bool {
	old := f.Items[it.Key]
	if old != nil && old.Version >= it.Version {
		return false
	}
	f.Items[it.Key] = &it
	f.Changes = append(f.Changes, it)
	f.Digest = 0
	for k, x := range f.Items {
		f.Digest += units.Mix(k, units.Hex(uint64(x.Version)))
	}
	return true
}

// Publish applies a chosen value and starts to push it to the given nodes.
func (f *Feed) Publish(now units.Time, it Item, to []units.NodeID) (out message.Effects) {
	it.ReceivedAt = now
	f.Apply(it)
	p := &pendingPush{unacked: map[units.NodeID]bool{}, version: it.Version, sentAt: now}
	for _, n := range to {
		p.unacked[n] = true
		out.Send(n, Push, encodePush(it))
	}
	f.pending[it.Key] = p
	return out
}

func encodePush(it Item) []byte {
	return message.Pack(versionHeader{uint64(it.Version)}, []byte(it.Key), it.Data)
}

// Tick repeats pending pushes to the live nodes that haven't acknowledged them, and relays new versions.
func (f *Feed) Tick(now units.Time, live []units.NodeID) (out message.Effects) {
	for _, key := range message.SortedKeys(f.pending) {
		p := f.pending[key]
		it := f.Items[key]
		if now.Sub(p.sentAt) < retryInterval || it == nil || it.Version != p.version {
			continue
		}
		p.sentAt = now
		for _, n := range message.SortedKeys(p.unacked) {
			if slices.Contains(live, n) {
				out.Send(n, Push, encodePush(*it))
			} else {
				delete(p.unacked, n)
			}
		}
		if len(p.unacked) == 0 {
			delete(f.pending, key)
		}
	}
	f.relay(live, &out)
	return out
}

// relay sends this node's versions to a few peers after a push, so that they pull what they lack: values reach nodes that
// are partitioned from the node that pushes. The peers are chosen by hash, so that every node chooses different ones.
func (f *Feed) relay(live []units.NodeID, out *message.Effects) {
	if !f.relayDue {
		return
	}
	f.relayDue = false
	targets := slices.Clone(live)
	salt := units.Hex(f.Digest) + units.Hex(uint64(len(targets)))
	slices.SortFunc(targets, func(x, y units.NodeID) int {
		return cmp.Compare(units.Mix(salt, f.selfSalt, x.String()), units.Mix(salt, f.selfSalt, y.String()))
	})
	for _, n := range targets[:min(relayCount, len(targets))] {
		out.Send(n, Pull, f.encodeVersions(f.versions()))
	}
}

// RequestMissing sends this node's versions to a peer whose digest differs, so that both exchange what the other lacks.
func (f *Feed) RequestMissing(now units.Time, from units.NodeID) (out message.Effects) {
	if t, ok := f.requestedAt[from]; ok && now.Sub(t) < retryInterval {
		return out
	}
	f.requestedAt[from] = now
	out.Send(from, Pull, f.encodeVersions(f.versions()))
	return out
}

func (f *Feed) versions() map[string]units.Version {
	m := map[string]units.Version{}
	for k, x := range f.Items {
		m[k] = x.Version
	}
	return m
}

func (f *Feed) encodeVersions(m map[string]units.Version) []byte {
	var l [][]byte
	for _, k := range message.SortedKeys(m) {
		l = append(l, message.Pack(versionHeader{uint64(m[k])}, []byte(k)))
	}
	return message.PackList(l)
}

func decodeVersions(body []byte) (map[string]units.Version, error) {
	l, err := message.UnpackList(body)
	m := map[string]units.Version{}
	for _, t := range l {
		var h versionHeader
		var k []byte
		if err == nil {
			err = message.Unpack(t, &h, &k)
		}
		m[string(k)] = units.Version(h.Version)
	}
	return m, err
}

// Step handles one message.
func (f *Feed) Step(now units.Time, msg message.Message) (out message.Effects) {
	var h versionHeader
	var key, data []byte
	var err error
	switch msg.Kind {
	case Push:
		if err = message.Unpack(msg.Body, &h, &key, &data); err == nil {
			f.relayDue = f.Apply(Item{Key: string(key), Version: units.Version(h.Version), Data: data, ReceivedAt: now}) || f.relayDue
			out.Send(msg.From, Ack, message.Pack(h, key))
		}
	case Ack:
		if err = message.Unpack(msg.Body, &h, &key); err == nil {
			f.handleAck(msg.From, string(key), units.Version(h.Version))
		}
	case Pull:
		var theirs map[string]units.Version
		if theirs, err = decodeVersions(msg.Body); err == nil {
			f.handlePull(now, msg.From, theirs, &out)
		}
	case ConfirmRequest:
		err = f.handleConfirmRequest(msg, &out)
	case ConfirmReply:
		err = f.handleConfirmReply(msg)
	}
	out.AddError(err)
	return out
}

func (f *Feed) handleAck(from units.NodeID, key string, version units.Version) {
	m := f.Acks[key]
	if m == nil {
		m = map[units.NodeID]units.Version{}
		f.Acks[key] = m
	}
	m[from] = max(m[from], version)
	if p := f.pending[key]; p != nil && version >= p.version {
		delete(p.unacked, from)
	}
}

// handlePull sends what the peer lacks, and pulls in turn if the peer holds newer versions.
func (f *Feed) handlePull(now units.Time, from units.NodeID, theirs map[string]units.Version, out *message.Effects) {
	for _, k := range message.SortedKeys(f.Items) {
		it := f.Items[k]
		if theirs[k] < it.Version {
			out.Send(from, Push, encodePush(*it))
		}
	}
	for k, x := range theirs {
		if it := f.Items[k]; it == nil || it.Version < x {
			out.Append(f.RequestMissing(now, from))
			return
		}
	}
}
