// Package configpush brings numbered news to every node and counts acknowledgements (design 4).
package configpush

import (
	"cmp"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The notes of news.
const (
	Push = message.KindConfigPush + iota
	Ack
	Pull
	ConfirmRequest
	ConfirmReply
)

const (
	again  = 300 * time.Millisecond
	relays = 3
)

type newsHead struct{ Num uint64 }

// vouchHead marks a question to vouchers, and its answers, with the time by the asker's clock.
type vouchHead struct{ Asked uint64 }

// Item is one key's newest news.
type Item struct {
	Key        string
	Version    units.Version
	Data       []byte
	ReceivedAt units.Time // when this node had it; the time isn't sent
}

type pushed struct {
	need map[units.NodeID]bool
	sent units.Time
	num  units.Version
}

// Feed is one node's state machine of the numbered values that are spread to all nodes: what it holds, what it pushes and
// who has acknowledged it. It isn't safe for concurrent use.
type Feed struct {
	Items          map[string]*Item
	Digest         uint64
	Changes        []Item                                    // what changed since the daemon last looked
	Acks           map[string]map[units.NodeID]units.Version // who has acknowledged what, on the pushing side
	asked          map[units.NodeID]units.Time               // when a neighbour was last asked for its news
	vouchAsked     units.Time
	me             string                          // salt for drawing whom to relay to
	out            map[string]*pushed              // news on its way
	Confirmations  map[units.NodeID]vouched        // a starting node's confirmations
	StoredVersions func() map[string]units.Version // a controller's numbers on disk; nil on a router
	seen           uint64                          // the digest at the last beat
	moved          units.Time                      // when that was found changed
	told           bool                            // something new came from a neighbour since the last tick
}

// New gives an empty one.
func New(self units.NodeID) *Feed {
	return &Feed{me: self.String(), Items: map[string]*Item{}, Acks: map[string]map[units.NodeID]units.Version{}, asked: map[units.NodeID]units.Time{},
		out: map[string]*pushed{}, Confirmations: map[units.NodeID]vouched{}}
}

// Apply sets a key's news if it is newer; it never goes back.
func (b *Feed) Apply(it Item) bool {
	old := b.Items[it.Key]
	if old != nil && old.Version >= it.Version {
		return false
	}
	b.Items[it.Key] = &it
	b.Changes = append(b.Changes, it)
	b.Digest = 0
	for k, x := range b.Items {
		b.Digest += units.Mix(k, units.Hex(uint64(x.Version)))
	}
	return true
}

// Publish takes a chosen value and begins to push it to the nodes given.
func (b *Feed) Publish(now units.Time, it Item, to []units.NodeID) (out message.Effects) {
	it.ReceivedAt = now
	b.Apply(it)
	p := &pushed{need: map[units.NodeID]bool{}, num: it.Version, sent: now}
	for _, n := range to {
		p.need[n] = true
		out.Send(n, Push, pack(it))
	}
	b.out[it.Key] = p
	return out
}

func pack(it Item) []byte {
	return message.Pack(newsHead{uint64(it.Version)}, []byte(it.Key), it.Data)
}

// Tick pushes again to those that have not acknowledged and still live, and to newcomers.
func (b *Feed) Tick(now units.Time, live []units.NodeID) (out message.Effects) {
	for _, key := range message.SortedKeys(b.out) {
		p := b.out[key]
		it := b.Items[key]
		if now.Sub(p.sent) < again || it == nil || it.Version != p.num {
			continue
		}
		p.sent = now
		for _, n := range message.SortedKeys(p.need) {
			if slices.Contains(live, n) {
				out.Send(n, Push, pack(*it))
			} else {
				delete(p.need, n)
			}
		}
		if len(p.need) == 0 {
			delete(b.out, key)
		}
	}
	b.relay(live, &out)
	return out
}

// relay tells a few others by number what came newly, so that they ask for what they lack: news goes round cuts that
// part its pusher from some. The few are drawn by hash, so that every node draws others.
func (b *Feed) relay(live []units.NodeID, out *message.Effects) {
	if !b.told {
		return
	}
	b.told = false
	l := slices.Clone(live)
	salt := units.Hex(b.Digest) + units.Hex(uint64(len(l)))
	slices.SortFunc(l, func(x, y units.NodeID) int {
		return cmp.Compare(units.Mix(salt, b.me, x.String()), units.Mix(salt, b.me, y.String()))
	})
	for _, n := range l[:min(relays, len(l))] {
		out.Send(n, Pull, b.packNums(b.nums()))
	}
}

// RequestMissing is told that a neighbour's digest differs: the two exchange what each lacks.
func (b *Feed) RequestMissing(now units.Time, from units.NodeID) (out message.Effects) {
	if t, ok := b.asked[from]; ok && now.Sub(t) < again {
		return out
	}
	b.asked[from] = now
	out.Send(from, Pull, b.packNums(b.nums()))
	return out
}

func (b *Feed) nums() map[string]units.Version {
	m := map[string]units.Version{}
	for k, x := range b.Items {
		m[k] = x.Version
	}
	return m
}

func (b *Feed) packNums(m map[string]units.Version) []byte {
	var l [][]byte
	for _, k := range message.SortedKeys(m) {
		l = append(l, message.Pack(newsHead{uint64(m[k])}, []byte(k)))
	}
	return message.PackList(l)
}

func unpackNums(body []byte) (map[string]units.Version, error) {
	l, err := message.UnpackList(body)
	m := map[string]units.Version{}
	for _, t := range l {
		var h newsHead
		var k []byte
		if err == nil {
			err = message.Unpack(t, &h, &k)
		}
		m[string(k)] = units.Version(h.Num)
	}
	return m, err
}

// Step takes one note.
func (b *Feed) Step(now units.Time, n message.Message) (out message.Effects) {
	var h newsHead
	var key, data []byte
	var err error
	switch n.Kind {
	case Push:
		if err = message.Unpack(n.Body, &h, &key, &data); err == nil {
			b.told = b.Apply(Item{Key: string(key), Version: units.Version(h.Num), Data: data, ReceivedAt: now}) || b.told
			out.Send(n.From, Ack, message.Pack(h, key))
		}
	case Ack:
		if err = message.Unpack(n.Body, &h, &key); err == nil {
			b.acked(n.From, string(key), units.Version(h.Num))
		}
	case Pull:
		var theirs map[string]units.Version
		if theirs, err = unpackNums(n.Body); err == nil {
			b.pulled(now, n.From, theirs, &out)
		}
	case ConfirmRequest:
		err = b.vouch(n, &out)
	case ConfirmReply:
		err = b.vouchedBy(n)
	}
	out.AddError(err)
	return out
}

func (b *Feed) acked(from units.NodeID, key string, num units.Version) {
	m := b.Acks[key]
	if m == nil {
		m = map[units.NodeID]units.Version{}
		b.Acks[key] = m
	}
	m[from] = max(m[from], num)
	if p := b.out[key]; p != nil && num >= p.num {
		delete(p.need, from)
	}
}

// pulled sends what the neighbour lacks, and asks back when it is ahead.
func (b *Feed) pulled(now units.Time, from units.NodeID, theirs map[string]units.Version, out *message.Effects) {
	for _, k := range message.SortedKeys(b.Items) {
		it := b.Items[k]
		if theirs[k] < it.Version {
			out.Send(from, Push, pack(*it))
		}
	}
	for k, x := range theirs {
		if it := b.Items[k]; it == nil || it.Version < x {
			out.Append(b.RequestMissing(now, from))
			return
		}
	}
}
