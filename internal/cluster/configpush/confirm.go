package configpush

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// noControllerGrace is how long a starting node waits for a controller before serving neighbours may vouch instead (start).
const noControllerGrace = 3 * time.Second

// digestValidity is how long a digest heard from a neighbour counts: it may have moved on since (start).
const digestValidity = 2 * time.Second

// confirmationValidity is how long a voucher's answer counts, from when it was asked. A majority made of answers of different times
// would prove nothing: a voucher that has been cut off since may have missed what the others took meanwhile (start).
const confirmationValidity = 2 * time.Second

// confirmInterval is how often vouchers are asked (start).
const confirmInterval = 100 * time.Millisecond

// confirmation is one voucher's answer: the newest numbers that it holds, as of a question of this node.
type confirmation struct {
	askedAt  units.Time // when the question left, by this node's own clock
	versions map[string]units.Version
}

// Confirm says whether a starting or woken node may serve: a majority of the voters have vouched that nothing newer
// than its news stands or, with the core away, a majority of the serving neighbours have. Until then it asks (design 4).
//
// The quorum set is part of the news that must not be older. Every change of it is accepted by a majority of the set
// before, so among any majority of an old set there is one whose disk holds a newer set's number.
func (f *Feed) Confirm(now units.Time, all []membership.Member, self units.NodeID, voters []units.NodeID, startedAt units.Time) (ok bool, out message.Effects) {
	core, peers := LivePeers(all, self)
	ok = len(voters) > 0 && f.confirmedBy(now, voters)
	if !ok && len(core) == 0 && now.Sub(startedAt) > noControllerGrace && len(peers) > 0 {
		ok = f.confirmedBy(now, peers)
	}
	if !ok && now.Sub(f.confirmAskedAt) > confirmInterval {
		f.confirmAskedAt = now
		question := message.Pack(confirmHeader{uint64(now)})
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

// confirmedBy says whether a majority of voters have vouched lately and nothing they hold is newer than the news here.
func (f *Feed) confirmedBy(now units.Time, voters []units.NodeID) bool {
	confirmations := 0
	for _, n := range voters {
		answer, ok := f.Confirmations[n]
		if !ok || now.Sub(answer.askedAt) > confirmationValidity {
			continue
		}
		confirmations++
		for key, version := range answer.versions {
			if it := f.Items[key]; it == nil || it.Version < version {
				return false
			}
		}
	}
	return confirmations > len(voters)/2
}

// handleConfirmRequest answers a starting node's question with the newest numbers here, behind whatever the disk still has to sync.
func (f *Feed) handleConfirmRequest(msg message.Message, out *message.Effects) error {
	var question confirmHeader
	if err := message.Unpack(msg.Body, &question); err != nil {
		return err
	}
	versions := f.versions()
	if f.StoredVersions != nil {
		for key, version := range f.StoredVersions() {
			versions[key] = max(versions[key], version)
		}
	}
	out.SendAfterSync(msg.From, ConfirmReply, message.Pack(question, f.encodeVersions(versions)))
	return nil
}

// handleConfirmReply takes a voucher's answer. One to an older question than the last that it answered is late.
func (f *Feed) handleConfirmReply(msg message.Message) error {
	var question confirmHeader
	var list []byte
	if err := message.Unpack(msg.Body, &question, &list); err != nil {
		return err
	}
	versions, err := decodeVersions(list)
	if err != nil {
		return err
	}
	asked := units.Time(question.AskedAt)
	if last, ok := f.Confirmations[msg.From]; !ok || last.askedAt <= asked {
		f.Confirmations[msg.From] = confirmation{asked, versions}
	}
	return nil
}

// PushAndPull pushes on what is on its way, and asks neighbours whose digest differs for what is lacking (design 4). A digest
// that was told before this node's own news last changed says nothing: who told it has, as a rule, changed as well.
func (f *Feed) PushAndPull(now units.Time, all []membership.Member, self units.NodeID) message.Effects {
	var live []units.NodeID
	for _, m := range all {
		if m.State <= membership.Suspect && m.Node != self {
			live = append(live, m.Node)
		}
	}
	out := f.Tick(now, live)
	if f.Digest != f.lastDigest {
		f.lastDigest, f.digestChangedAt = f.Digest, now
	}
	for _, m := range all {
		if m.State == membership.Alive && m.Node != self && m.FeedDigest != 0 && m.FeedDigest != f.Digest && m.FeedDigestAt > f.digestChangedAt && now.Sub(m.FeedDigestAt) < digestValidity {
			out.Append(f.RequestMissing(now, m.Node))
		}
	}
	return out
}
