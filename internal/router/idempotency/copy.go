package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// storedEntry is an entry as it is sent in copies and stored on disk.
type storedEntry struct {
	Token uint64
	Spent uint8
}

// copyHeader precedes the entries of a copy.
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
	var items [][]byte
	for _, k := range message.SortedKeys(keys) {
		e := keys[k]
		x := storedEntry{Token: e.token}
		if e.spent {
			x.Spent = 1
		}
		items = append(items, message.Pack(x, []byte(k)))
	}
	h := copyHeader{VotersVersion: uint64(votersVersion)}
	if complete {
		h.Complete = 1
	}
	return message.Pack(h, message.PackList(items))
}

func decodeCopy(b []byte) (h copyHeader, out []copiedEntry, err error) {
	var list []byte
	if err = message.Unpack(b, &h, &list); err != nil {
		return h, nil, err
	}
	items, err := message.UnpackList(list)
	for _, t := range items {
		var x storedEntry
		var k []byte
		if err == nil {
			err = message.Unpack(t, &x, &k)
		}
		out = append(out, copiedEntry{string(k), x.Token, x.Spent == 1})
	}
	return h, out, err
}

// mergeCopy adds the keys of another router or a voter. A key that is already known here keeps its token, and is spent if
// it is spent in either.
func (c *Claimant) mergeCopy(now units.Time, msg message.Message) error {
	h, copied, err := decodeCopy(msg.Body)
	if err != nil {
		return err
	}
	for _, other := range copied {
		e, ok := c.keys[other.key]
		if !ok {
			e = entry{token: other.token, updatedAt: now}
		}
		e.spent = e.spent || other.spent
		c.keys[other.key] = e
	}
	c.copies[msg.From] = copyStatus{complete: h.Complete == 1, votersVersion: units.Version(h.VotersVersion)}
	return nil
}

// recoverKeys requests the keys of other nodes after a start and reports whether all are recovered. They are once every
// live router has sent a complete copy. If some routers are as new as this one, they are once all routers have sent what
// they have, and enough voters have sent complete copies that no claim on a majority of the disks can be missing.
func (c *Claimant) recoverKeys(now units.Time, peers []units.NodeID, out *message.Effects) bool {
	allComplete, allReplied := true, true
	for _, n := range peers {
		status, ok := c.copies[n]
		allComplete, allReplied = allComplete && status.complete, allReplied && ok
	}
	completeVoters := 0
	for _, n := range c.voters.Members {
		if status := c.copies[n]; status.complete && status.votersVersion <= c.voters.Version {
			completeVoters++
		}
	}
	votersSuffice := len(c.voters.Members) > 0 && completeVoters >= recoveryQuorum(c.voters)
	if now.Sub(c.startedAt) >= propagationTime && (len(peers) > 0 && allComplete || allReplied && votersSuffice) {
		return true
	}
	if now.Sub(c.copiesRequestedAt) >= retryInterval {
		c.copiesRequestedAt = now
		// Copies are requested again less often from nodes that sent an incomplete one, since a copy may be large.
		retryPartial := now.Sub(c.partialRequestedAt) >= time.Second
		if retryPartial {
			c.partialRequestedAt = now
		}
		for _, n := range append(append([]units.NodeID(nil), peers...), c.voters.All()...) {
			if status, ok := c.copies[n]; !ok || retryPartial && !status.complete {
				out.Send(n, CopyRequest, message.Pack(header{}))
			}
		}
	}
	return false
}
