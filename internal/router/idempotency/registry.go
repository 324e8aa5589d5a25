package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// The records of claims on a voter's disk. A RecordClaim without data removes its key.
const (
	RecordClaim uint8 = 16 + iota
	RecordComplete
)

// voterCopy describes the last copy received from a voter.
type voterCopy struct {
	complete bool
	empty    bool // holds no claim, and so adds no more than an uninitialized one
}

// Registry is a voter's copy of all claims, on its disk. Routers keep claims in memory only, so that these are lost if all
// routers stop (docs/design.md, section 8).
type Registry struct {
	self              units.NodeID
	keys              map[string]entry
	complete          bool
	copies            map[units.NodeID]voterCopy // by voters that replied
	copiesRequestedAt units.Time
	sweptAt           units.Time
	DiskFull          bool // nothing new is accepted
}

// LoadRegistry restores the registry from the records on disk. These don't contain the age of a claim, so as not to depend
// on the wall clock: after a start each claim counts as new.
func LoadRegistry(self units.NodeID, now units.Time, records []message.Record) *Registry {
	r := &Registry{self: self, keys: map[string]entry{}, copies: map[units.NodeID]voterCopy{}}
	for _, record := range records {
		var stored storedEntry
		switch {
		case record.Kind == RecordComplete:
			r.complete = true
		case record.Kind == RecordClaim && message.Unpack(record.Data, &stored) == nil:
			r.keys[record.Key] = entry{token: stored.Token, spent: stored.Spent == 1, updatedAt: now}
		}
	}
	return r
}

func claimRecord(key string, e entry) message.Record {
	stored := storedEntry{Token: e.token}
	if e.spent {
		stored.Spent = 1
	}
	return message.Record{Kind: RecordClaim, Key: key, Data: message.Pack(stored)}
}

// Complete reports whether this voter has every claim that a majority may have stored, and so may grant new ones.
func (r *Registry) Complete() bool { return r.complete }

// Len returns the number of keys.
func (r *Registry) Len() int { return len(r.keys) }

// Step handles one message; votersVersion is the newest quorum set that this node knows.
func (r *Registry) Step(now units.Time, msg message.Message, votersVersion units.Version) (out message.Effects) {
	switch msg.Kind {
	case CopyRequest:
		var h header
		if err := message.Unpack(msg.Body, &h); err != nil {
			out.AddError(err)
			return out
		}
		// A request under a newer quorum set is answered only once this node, too, has stopped serving an older one.
		if units.Version(h.VotersVersion) <= votersVersion {
			out.SendAfterSync(msg.From, CopyReply, encodeCopy(r.keys, r.complete, votersVersion))
		}
	case CopyReply:
		r.mergeCopy(now, msg, &out)
	case Claim, Spend:
		var h header
		var key []byte
		if err := message.Unpack(msg.Body, &h, &key); err != nil {
			out.AddError(err)
			return out
		}
		r.handleClaim(now, msg, h, string(key), votersVersion, &out)
	}
	return out
}

func (r *Registry) handleClaim(now units.Time, msg message.Message, h header, key string, votersVersion units.Version,
	out *message.Effects) {
	e, ok := r.keys[key]
	if msg.Kind == Spend {
		if !e.spent && !r.DiskFull {
			r.store(key, entry{token: e.token, spent: true, updatedAt: now}, out)
		}
		return
	}
	switch {
	case ok && e.spent:
		h.State = spent
	case ok && e.token != h.Token:
		h.State = taken
	case ok:
		h.State = granted
	case !r.complete || r.DiskFull || units.Version(h.VotersVersion) < votersVersion:
		h.State = abstained
	default:
		r.store(key, entry{token: h.Token, updatedAt: now}, out)
		h.State = granted
	}
	out.SendAfterSync(msg.From, ClaimReply, message.Pack(h, []byte(key)))
}

func (r *Registry) store(key string, e entry, out *message.Effects) {
	r.keys[key] = e
	out.Writes = append(out.Writes, claimRecord(key, e))
}

// mergeCopy adds another voter's claims. An uninitialized disk needs them before it may grant.
func (r *Registry) mergeCopy(now units.Time, msg message.Message, out *message.Effects) {
	if r.complete {
		return
	}
	h, copied, err := decodeCopy(msg.Body)
	if err != nil {
		out.AddError(err)
		return
	}
	for _, other := range copied {
		if e, ok := r.keys[other.key]; !ok || other.spent && !e.spent {
			r.store(other.key, entry{token: other.token, spent: other.spent, updatedAt: now}, out)
		}
	}
	r.copies[msg.From] = voterCopy{complete: h.Complete == 1, empty: len(copied) == 0}
}

// Tick removes expired claims, and requests the other voters' claims for an uninitialized disk.
func (r *Registry) Tick(now units.Time, voters register.QuorumSet) (out message.Effects) {
	if now.Sub(r.sweptAt) > time.Second && !r.DiskFull {
		r.sweptAt = now
		for _, k := range message.SortedKeys(r.keys) {
			if now.Sub(r.keys[k].updatedAt) > Retention {
				delete(r.keys, k)
				out.Writes = append(out.Writes, message.Record{Kind: RecordClaim, Key: k})
			}
		}
	}
	if r.complete || !voters.Has(r.self) || r.DiskFull {
		return out
	}
	complete, withoutClaims := 0, 0
	for _, n := range voters.Members {
		status, ok := r.copies[n]
		if status.complete {
			complete++
		}
		if n == r.self || ok && (!status.complete || status.empty) {
			withoutClaims++
		}
	}
	// A recovery quorum intersects every majority that may have stored a claim. If every voter is uninitialized or holds no
	// claim, no claim is stored. Complete voters without claims have to count there: in a new fleet a voter that gets its
	// replies late finds some of the others complete already.
	if complete >= recoveryQuorum(voters) || withoutClaims == len(voters.Members) {
		r.complete = true
		out.Writes = append(out.Writes, message.Record{Kind: RecordComplete, Data: []byte{1}})
		return out
	}
	if now.Sub(r.copiesRequestedAt) >= retryInterval {
		r.copiesRequestedAt = now
		for _, n := range voters.Members {
			if n != r.self && !r.copies[n].complete {
				out.Send(n, CopyRequest, message.Pack(header{VotersVersion: uint64(voters.Version)}))
			}
		}
	}
	return out
}

// recoveryQuorum returns how many voters intersect every majority.
func recoveryQuorum(v register.QuorumSet) int { return len(v.Members) - len(v.Members)/2 }
