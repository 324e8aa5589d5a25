package configpush

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// alone is how long a starting node waits for a controller before serving neighbours may vouch instead (start).
const alone = 3 * time.Second

// freshFor is how long a digest heard from a neighbour counts: it may have moved on since (start).
const freshFor = 2 * time.Second

// vouchFresh is how long a voucher's answer counts, from when it was asked. A majority made of answers of different times
// would prove nothing: a voucher that has been cut off since may have missed what the others took meanwhile (start).
const vouchFresh = 2 * time.Second

// vouchAgain is how often vouchers are asked (start).
const vouchAgain = 100 * time.Millisecond

// vouched is one voucher's answer: the newest numbers that it holds, as of a question of this node.
type vouched struct {
	asked   units.Time // when the question left, by this node's own clock
	numbers map[string]units.Version
}

// Confirm says whether a starting or woken node may serve: a majority of the voters have vouched that nothing newer
// than its news stands or, with the core away, a majority of the serving neighbours have. Until then it asks (design 4).
//
// The quorum set is part of the news that must not be older. Every change of it is accepted by a majority of the set
// before, so among any majority of an old set there is one whose disk holds a newer set's number.
func (b *Feed) Confirm(now units.Time, all []membership.Member, self units.NodeID, voters []units.NodeID, began units.Time) (ok bool, out message.Effects) {
	core, peers := LivePeers(all, self)
	ok = len(voters) > 0 && b.confirmed(now, voters)
	if !ok && len(core) == 0 && now.Sub(began) > alone && len(peers) > 0 {
		ok = b.confirmed(now, peers)
	}
	if !ok && now.Sub(b.vouchAsked) > vouchAgain {
		b.vouchAsked = now
		question := message.Pack(vouchHead{uint64(now)})
		for _, n := range append(core, peers...) {
			out.Send(n, ConfirmRequest, question)
		}
	}
	return ok, out
}

// LivePeers lists the live controllers, and the live routers that serve.
func LivePeers(all []membership.Member, self units.NodeID) (core, peers []units.NodeID) {
	for _, m := range all {
		switch {
		case m.State > membership.Suspect || m.Node == self:
		case m.Role == membership.Controller:
			core = append(core, m.Node)
		case m.Flags&membership.Ready != 0:
			peers = append(peers, m.Node)
		}
	}
	return core, peers
}

// confirmed says whether a majority of voters have vouched lately and nothing they hold is newer than the news here.
func (b *Feed) confirmed(now units.Time, voters []units.NodeID) bool {
	vouchers := 0
	for _, n := range voters {
		answer, ok := b.Confirmations[n]
		if !ok || now.Sub(answer.asked) > vouchFresh {
			continue
		}
		vouchers++
		for key, number := range answer.numbers {
			if it := b.Items[key]; it == nil || it.Version < number {
				return false
			}
		}
	}
	return vouchers > len(voters)/2
}

// vouch answers a starting node's question with the newest numbers here, behind whatever the disk still has to sync.
func (b *Feed) vouch(n message.Message, out *message.Effects) error {
	var question vouchHead
	if err := message.Unpack(n.Body, &question); err != nil {
		return err
	}
	numbers := b.nums()
	if b.StoredVersions != nil {
		for key, number := range b.StoredVersions() {
			numbers[key] = max(numbers[key], number)
		}
	}
	out.SendAfterSync(n.From, ConfirmReply, message.Pack(question, b.packNums(numbers)))
	return nil
}

// vouchedBy takes a voucher's answer. One to an older question than the last that it answered is late.
func (b *Feed) vouchedBy(n message.Message) error {
	var question vouchHead
	var list []byte
	if err := message.Unpack(n.Body, &question, &list); err != nil {
		return err
	}
	numbers, err := unpackNums(list)
	if err != nil {
		return err
	}
	asked := units.Time(question.Asked)
	if last, ok := b.Confirmations[n.From]; !ok || last.asked <= asked {
		b.Confirmations[n.From] = vouched{asked, numbers}
	}
	return nil
}

// PushAndPull pushes on what is on its way, and asks neighbours whose digest differs for what is lacking (design 4). A digest
// that was told before this node's own news last changed says nothing: who told it has, as a rule, changed as well.
func (b *Feed) PushAndPull(now units.Time, all []membership.Member, self units.NodeID) message.Effects {
	var live []units.NodeID
	for _, m := range all {
		if m.State <= membership.Suspect && m.Node != self {
			live = append(live, m.Node)
		}
	}
	out := b.Tick(now, live)
	if b.Digest != b.seen {
		b.seen, b.moved = b.Digest, now
	}
	for _, m := range all {
		if m.State == membership.Alive && m.Node != self && m.FeedDigest != 0 && m.FeedDigest != b.Digest && m.FeedDigestAt > b.moved && now.Sub(m.FeedDigestAt) < freshFor {
			out.Append(b.RequestMissing(now, m.Node))
		}
	}
	return out
}
