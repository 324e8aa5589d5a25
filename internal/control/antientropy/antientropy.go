// Package antientropy compares copies of the control state by digests over ranges, and has them mended from the newer
// (design 2).
package antientropy

import (
	"math/rand/v2"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// The notes of repair. Mending itself is the owner's last Accept once more, so a voter's promises guard it.
const (
	Digests = message.KindAntiEntropy + iota
	Ranges
)

// Parts is how many ranges the keys fall into, by hash.
const Parts = 16

// Gap between two comparisons by one node (start).
const Gap = 2 * time.Second

type digests struct{ Sum [Parts]uint64 }

type rangeHead struct {
	Mask uint64
	Back uint8 // shown in return: not to be returned once more
}

type keyHead struct{ N, By, Seq uint64 }

// Isobar is the step machine.
type Syncer struct {
	self   units.Node
	rng    *rand.Rand
	next   units.Time
	Mended int
}

// New gives one that begins after a random part of the gap.
func New(self units.Node, now units.Time, rng *rand.Rand) *Syncer {
	return &Syncer{self: self, rng: rng, next: now.Add(time.Duration(rng.Int64N(int64(Gap))))}
}

func part(key string) int { return int(units.Mix(key) % Parts) }

func sums(slots map[string]*register.State) (d digests) {
	for _, k := range message.Keys(slots) {
		s := slots[k]
		d.Sum[part(k)] += units.Mix(k, units.Hex(s.Accepted.N), s.Accepted.By.String(), units.Hex(s.Seq))
	}
	return d
}

// Tick compares with one other voter, a random one each time. Who has no vote holds no copy: it would be told of every
// key again and again.
func (i *Syncer) Tick(now units.Time, voters []units.Node, slots map[string]*register.State) (out message.Effects) {
	if now < i.next || len(voters) < 2 || !slices.Contains(voters, i.self) {
		return out
	}
	i.next = now.Add(Gap)
	n := voters[i.rng.IntN(len(voters))]
	if n != i.self {
		out.Send(n, Digests, message.Pack(sums(slots)))
	}
	return out
}

// Step takes one note; mend sends a key's accepted value to another voter.
func (i *Syncer) Step(n message.Message, slots map[string]*register.State, mend func(to units.Node, key string) message.Effects) (out message.Effects) {
	switch n.Kind {
	case Digests:
		var d digests
		if err := message.Unpack(n.Body, &d); err != nil {
			out.Fail(err)
			return out
		}
		mine, mask := sums(slots), uint64(0)
		for p := range Parts {
			if mine.Sum[p] != d.Sum[p] {
				mask |= 1 << p
			}
		}
		if mask != 0 {
			out.Send(n.From, Ranges, list(rangeHead{Mask: mask}, slots))
		}
	case Ranges:
		out.Fail(i.ranges(n, slots, mend, &out))
	}
	return out
}

func list(h rangeHead, slots map[string]*register.State) []byte {
	var l [][]byte
	for _, k := range message.Keys(slots) {
		if s := slots[k]; h.Mask>>part(k)&1 == 1 {
			l = append(l, message.Pack(keyHead{s.Accepted.N, uint64(s.Accepted.By), s.Seq}, []byte(k)))
		}
	}
	return message.Pack(h, message.PackList(l))
}

// ranges mends what is older there, and shows its own part back when something is older here.
func (i *Syncer) ranges(n message.Message, slots map[string]*register.State, mend func(units.Node, string) message.Effects, out *message.Effects) error {
	var h rangeHead
	var b []byte
	if err := message.Unpack(n.Body, &h, &b); err != nil {
		return err
	}
	l, err := message.UnpackList(b)
	if err != nil {
		return err
	}
	theirs := map[string]keyHead{}
	for _, t := range l {
		var x keyHead
		var k []byte
		if err := message.Unpack(t, &x, &k); err != nil {
			return err
		}
		theirs[string(k)] = x
	}
	behind := false
	for _, k := range message.Keys(slots) {
		s := slots[k]
		if h.Mask>>part(k)&1 == 0 {
			continue
		}
		switch c := order(s, theirs[k]); {
		case c > 0:
			i.Mended++
			out.Join(mend(n.From, k))
		case c < 0:
			behind = true
		}
	}
	for k := range theirs {
		behind = behind || slots[k] == nil
	}
	if behind && h.Back == 0 {
		out.Send(n.From, Ranges, list(rangeHead{h.Mask, 1}, slots))
	}
	return nil
}

func order(s *register.State, x keyHead) int {
	e := units.Epoch{N: x.N, By: units.Node(x.By)}
	switch {
	case e.Less(s.Accepted) || e == s.Accepted && s.Seq > x.Seq:
		return 1
	case s.Accepted.Less(e) || e == s.Accepted && s.Seq < x.Seq:
		return -1
	}
	return 0
}
