package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

type storedEntry struct {
	Token uint64
	Spent uint8
}

type copyHeader struct {
	VotersVersion uint64
	Complete      uint8
}

type copiedEntry struct {
	key   string
	token uint64
	spent bool
}

func encodeCopy(keys map[string]entry, complete bool, votersVersion units.Version) []byte {
	var l [][]byte
	for _, k := range message.SortedKeys(keys) {
		e := keys[k]
		x := storedEntry{Token: e.token}
		if e.spent {
			x.Spent = 1
		}
		l = append(l, message.Pack(x, []byte(k)))
	}
	h := copyHeader{VotersVersion: uint64(votersVersion)}
	if complete {
		h.Complete = 1
	}
	return message.Pack(h, message.PackList(l))
}

func decodeCopy(b []byte) (h copyHeader, out []copiedEntry, err error) {
	var list []byte
	if err = message.Unpack(b, &h, &list); err != nil {
		return h, nil, err
	}
	l, err := message.UnpackList(list)
	for _, t := range l {
		var x storedEntry
		var k []byte
		if err == nil {
			err = message.Unpack(t, &x, &k)
		}
		out = append(out, copiedEntry{string(k), x.Token, x.Spent == 1})
	}
	return h, out, err
}

// mergeCopy copies a neighbour's memory, or a voter's; a key that is known here already keeps what it has, burnt staying
// burnt.
func (s *Claimant) mergeCopy(now units.Time, msg message.Message) error {
	h, l, err := decodeCopy(msg.Body)
	if err != nil {
		return err
	}
	for _, x := range l {
		e, ok := s.keys[x.key]
		if !ok {
			e = entry{token: x.token, updatedAt: now}
		}
		e.spent = e.spent || x.spent
		s.keys[x.key] = e
	}
	s.copies[msg.From] = copyStatus{complete: h.Complete == 1, votersVersion: units.Version(h.VotersVersion)}
	return nil
}

// recoverKeys brings back what others remember after a start. It is all there once every live router has given a whole
// memory; or, where some are as new as this one, once all have given what they have and so many voters theirs that
// no claim on a majority of the disks can be missing.
func (s *Claimant) recoverKeys(now units.Time, peers []units.NodeID, out *message.Effects) bool {
	allComplete, allHeard := true, true
	for _, n := range peers {
		status, ok := s.copies[n]
		allComplete, allHeard = allComplete && status.complete, allHeard && ok
	}
	completeVoters := 0
	for _, n := range s.voters.Members {
		if status := s.copies[n]; status.complete && status.votersVersion <= s.voters.Version {
			completeVoters++
		}
	}
	votersSuffice := len(s.voters.Members) > 0 && completeVoters >= recoveryQuorum(s.voters)
	if now.Sub(s.startedAt) >= propagationTime && (len(peers) > 0 && allComplete || allHeard && votersSuffice) {
		return true
	}
	if now.Sub(s.copiesRequestedAt) >= retryInterval {
		s.copiesRequestedAt = now
		retryPartial := now.Sub(s.partialRequestedAt) >= time.Second // who gave a part is asked for all of it more seldom: a memory may be long
		if retryPartial {
			s.partialRequestedAt = now
		}
		for _, n := range append(append([]units.NodeID(nil), peers...), s.voters.All()...) {
			if status, ok := s.copies[n]; !ok || retryPartial && !status.complete {
				out.Send(n, CopyRequest, message.Pack(header{}))
			}
		}
	}
	return false
}
