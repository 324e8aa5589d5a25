package configpush

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// noControllerGrace is how long a starting node waits for a controller before serving peers may confirm it instead.
const noControllerGrace = 3 * time.Second

// digestValidity is how long a digest announced by a peer is used. After that the peer's state may have changed.
const digestValidity = 2 * time.Second

// confirmationValidity is how long a confirmation counts, from when it was requested. A majority of confirmations from
// different times would prove nothing: a node that was partitioned off after its reply may have missed what the others
// accepted since.
const confirmationValidity = 2 * time.Second

// confirmInterval is the minimum time between two requests for confirmation.
const confirmInterval = 100 * time.Millisecond

// confirmation is a node's reply to a request of this node: the newest versions that it holds.
type confirmation struct {
	requestedAt units.Time // when the request was sent, by this node's own clock
	versions    map[string]units.Version
}

// Confirm reports whether a starting or resumed node may serve: a majority of the voters or, if no controller is
// reachable, of the serving peers has confirmed that it holds nothing newer than this node does. Until then Confirm sends
// requests (docs/design.md, section 4).
//
// The quorum set is one of the values that must not be older. Every change of it is accepted by a majority of the previous
// set, so any majority of an old set includes a member whose disk holds the version of a newer set.
func (f *Feed) Confirm(now units.Time, all []membership.Member, self units.NodeID, voters []units.NodeID,
	startedAt units.Time) (ok bool, out message.Effects) {
	controllers, peers := LivePeers(all, self)
	ok = len(voters) > 0 && f.confirmedBy(now, voters)
	if !ok && len(controllers) == 0 && now.Sub(startedAt) > noControllerGrace && len(peers) > 0 {
		ok = f.confirmedBy(now, peers)
	}
	if !ok && now.Sub(f.confirmAskedAt) > confirmInterval {
		f.confirmAskedAt = now
		request := message.Pack(confirmHeader{uint64(now)})
		for _, n := range append(controllers, peers...) {
			out.Send(n, ConfirmRequest, request)
		}
	}
	return ok, out
}

// LivePeers returns the live controllers and the live routers that serve, without this node.
func LivePeers(all []membership.Member, self units.NodeID) (controllers, routers []units.NodeID) {
	for _, m := range all {
		switch {
		case m.State > membership.Suspect || m.Node == self:
		case m.Role == membership.Controller:
			controllers = append(controllers, m.Node)
		case m.Flags&membership.Ready != 0:
			routers = append(routers, m.Node)
		}
	}
	return controllers, routers
}

// confirmedBy reports whether a majority of voters has a recent confirmation and none of these holds a newer version.
func (f *Feed) confirmedBy(now units.Time, voters []units.NodeID) bool {
	confirmations := 0
	for _, n := range voters {
		reply, ok := f.Confirmations[n]
		if !ok || now.Sub(reply.requestedAt) > confirmationValidity {
			continue
		}
		confirmations++
		for key, version := range reply.versions {
			if it := f.Items[key]; it == nil || it.Version < version {
				return false
			}
		}
	}
	return confirmations > len(voters)/2
}

// handleConfirmRequest replies to a starting node with the newest versions here, once all pending writes are synced.
func (f *Feed) handleConfirmRequest(msg message.Message, out *message.Effects) error {
	var request confirmHeader
	if err := message.Unpack(msg.Body, &request); err != nil {
		return err
	}
	versions := f.versions()
	if f.StoredVersions != nil {
		for key, version := range f.StoredVersions() {
			versions[key] = max(versions[key], version)
		}
	}
	out.SendAfterSync(msg.From, ConfirmReply, message.Pack(request, f.encodeVersions(versions)))
	return nil
}

// handleConfirmReply records a confirmation, unless the sender has already replied to a later request.
func (f *Feed) handleConfirmReply(msg message.Message) error {
	var request confirmHeader
	var list []byte
	if err := message.Unpack(msg.Body, &request, &list); err != nil {
		return err
	}
	versions, err := decodeVersions(list)
	if err != nil {
		return err
	}
	requestedAt := units.Time(request.AskedAt)
	if last, ok := f.Confirmations[msg.From]; !ok || last.requestedAt <= requestedAt {
		f.Confirmations[msg.From] = confirmation{requestedAt, versions}
	}
	return nil
}

// PushAndPull repeats pending pushes and exchanges versions with peers whose digest differs (docs/design.md, section 4). A
// digest received before this node's own values last changed is ignored: usually the peer's have changed as well by now.
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
		if m.State == membership.Alive && m.Node != self && m.FeedDigest != 0 && m.FeedDigest != f.Digest &&
			m.FeedDigestAt > f.digestChangedAt && now.Sub(m.FeedDigestAt) < digestValidity {
			out.Append(f.RequestMissing(now, m.Node))
		}
	}
	return out
}
