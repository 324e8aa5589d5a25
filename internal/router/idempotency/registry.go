package idempotency

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// The records of claims on a voter's disk. An empty one ends its key.
const (
	RecordClaim uint8 = 16 + iota
	RecordComplete
)

// voterCopy is what a voter's copy showed.
type voterCopy struct {
	complete bool
	empty    bool // it holds no claim, so that it tells no more than a blank one
}

// Registry is a voter's copy of all claims, on its disk: what routers remember is gone once they all are (design 8).
type Registry struct {
	self              units.NodeID
	keys              map[string]entry
	complete          bool
	copies            map[units.NodeID]voterCopy // of the voters that answered
	copiesRequestedAt units.Time
	sweptAt           units.Time
	DiskFull          bool // no room on the disk: nothing new is taken
}

// LoadRegistry builds the machine from what the disk holds. How old a claim is is not on the disk, so that no calendar
// is trusted: after a start each counts as new.
func LoadRegistry(self units.NodeID, now units.Time, records []message.Record) *Registry {
	r := &Registry{self: self, keys: map[string]entry{}, copies: map[units.NodeID]voterCopy{}}
	for _, x := range records {
		var it storedEntry
		switch {
		case x.Kind == RecordComplete:
			r.complete = true
		case x.Kind == RecordClaim && message.Unpack(x.Data, &it) == nil:
			r.keys[x.Key] = entry{token: it.Token, spent: it.Spent == 1, updatedAt: now}
		}
	}
	return r
}

func claimRecord(key string, e entry) message.Record {
	it := storedEntry{Token: e.token}
	if e.spent {
		it.Spent = 1
	}
	return message.Record{Kind: RecordClaim, Key: key, Data: message.Pack(it)}
}

// Complete says whether this voter knows all that a majority was ever told, and so may grant.
func (r *Registry) Complete() bool { return r.complete }

// Len counts the claims.
func (r *Registry) Len() int { return len(r.keys) }

// Step takes one note; ver is the newest set of voters that this node knows of.
func (r *Registry) Step(now units.Time, msg message.Message, votersVersion units.Version) (out message.Effects) {
	switch msg.Kind {
	case CopyRequest:
		var h header
		if err := message.Unpack(msg.Body, &h); err != nil {
			out.AddError(err)
			return out
		}
		// Who asks under a newer set is answered once this node, too, serves no older one.
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

func (r *Registry) handleClaim(now units.Time, msg message.Message, h header, key string, votersVersion units.Version, out *message.Effects) {
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

// mergeCopy takes another voter's claims, as a blank disk must before it may grant.
func (r *Registry) mergeCopy(now units.Time, msg message.Message, out *message.Effects) {
	if r.complete {
		return
	}
	h, l, err := decodeCopy(msg.Body)
	if err != nil {
		out.AddError(err)
		return
	}
	for _, x := range l {
		if e, ok := r.keys[x.key]; !ok || x.spent && !e.spent {
			r.store(x.key, entry{token: x.token, spent: x.spent, updatedAt: now}, out)
		}
	}
	r.copies[msg.From] = voterCopy{complete: h.Complete == 1, empty: len(l) == 0}
}

// Tick forgets old claims, and has a blank disk copy those of the other voters.
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
	complete, blank := 0, 0
	for _, n := range voters.Members {
		h, ok := r.copies[n]
		if h.complete {
			complete++
		}
		if n == r.self || ok && (!h.complete || h.empty) {
			blank++
		}
	}
	// So many meet every majority that a claim may stand on. Where every voter is blank or holds no claim, none is kept:
	// in a new fleet those that are asked later find some whole already, which must not stop them.
	if complete >= recoveryQuorum(voters) || blank == len(voters.Members) {
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

// recoveryQuorum counts the voters that meet every majority.
func recoveryQuorum(v register.QuorumSet) int { return len(v.Members) - len(v.Members)/2 }
