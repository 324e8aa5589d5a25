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

// copyState is what a voter's copy showed.
type copyState struct {
	whole bool
	empty bool // it holds no claim, so that it tells no more than a blank one
}

// Registry is a voter's copy of all claims, on its disk: what routers remember is gone once they all are (design 8).
type Registry struct {
	self     units.NodeID
	keys     map[string]entry
	whole    bool
	heard    map[units.NodeID]copyState // of the voters that answered
	asked    units.Time
	swept    units.Time
	DiskFull bool // no room on the disk: nothing new is taken
}

// LoadRegistry builds the machine from what the disk holds. How old a claim is is not on the disk, so that no calendar
// is trusted: after a start each counts as new.
func LoadRegistry(self units.NodeID, now units.Time, rs []message.Record) *Registry {
	r := &Registry{self: self, keys: map[string]entry{}, heard: map[units.NodeID]copyState{}}
	for _, x := range rs {
		var it item
		switch {
		case x.Kind == RecordComplete:
			r.whole = true
		case x.Kind == RecordClaim && message.Unpack(x.Data, &it) == nil:
			r.keys[x.Key] = entry{token: it.Token, burnt: it.Burnt == 1, at: now}
		}
	}
	return r
}

func record(key string, e entry) message.Record {
	it := item{Token: e.token}
	if e.burnt {
		it.Burnt = 1
	}
	return message.Record{Kind: RecordClaim, Key: key, Data: message.Pack(it)}
}

// Complete says whether this voter knows all that a majority was ever told, and so may grant.
func (r *Registry) Complete() bool { return r.whole }

// Len counts the claims.
func (r *Registry) Len() int { return len(r.keys) }

// Step takes one note; ver is the newest set of voters that this node knows of.
func (r *Registry) Step(now units.Time, n message.Message, ver units.Version) (out message.Effects) {
	switch n.Kind {
	case CopyRequest:
		var h head
		if err := message.Unpack(n.Body, &h); err != nil {
			out.AddError(err)
			return out
		}
		// Who asks under a newer set is answered once this node, too, serves no older one.
		if units.Version(h.Ver) <= ver {
			out.SendAfterSync(n.From, CopyReply, pack(r.keys, r.whole, ver))
		}
	case CopyReply:
		r.copy(now, n, &out)
	case Claim, Spend:
		var h head
		var key []byte
		if err := message.Unpack(n.Body, &h, &key); err != nil {
			out.AddError(err)
			return out
		}
		r.claim(now, n, h, string(key), ver, &out)
	}
	return out
}

func (r *Registry) claim(now units.Time, n message.Message, h head, key string, ver units.Version, out *message.Effects) {
	e, ok := r.keys[key]
	if n.Kind == Spend {
		if !e.burnt && !r.DiskFull {
			r.set(key, entry{token: e.token, burnt: true, at: now}, out)
		}
		return
	}
	switch {
	case ok && e.burnt:
		h.State = burned
	case ok && e.token != h.Token:
		h.State = taken
	case ok:
		h.State = granted
	case !r.whole || r.DiskFull || units.Version(h.Ver) < ver:
		h.State = abstain
	default:
		r.set(key, entry{token: h.Token, at: now}, out)
		h.State = granted
	}
	out.SendAfterSync(n.From, ClaimReply, message.Pack(h, []byte(key)))
}

func (r *Registry) set(key string, e entry, out *message.Effects) {
	r.keys[key] = e
	out.Writes = append(out.Writes, record(key, e))
}

// copy takes another voter's claims, as a blank disk must before it may grant.
func (r *Registry) copy(now units.Time, n message.Message, out *message.Effects) {
	if r.whole {
		return
	}
	h, l, err := unpackCopy(n.Body)
	if err != nil {
		out.AddError(err)
		return
	}
	for _, x := range l {
		if e, ok := r.keys[x.key]; !ok || x.burnt && !e.burnt {
			r.set(x.key, entry{token: x.token, burnt: x.burnt, at: now}, out)
		}
	}
	r.heard[n.From] = copyState{whole: h.Whole == 1, empty: len(l) == 0}
}

// Tick forgets old claims, and has a blank disk copy those of the other voters.
func (r *Registry) Tick(now units.Time, v register.QuorumSet) (out message.Effects) {
	if now.Sub(r.swept) > time.Second && !r.DiskFull {
		r.swept = now
		for _, k := range message.SortedKeys(r.keys) {
			if now.Sub(r.keys[k].at) > Retention {
				delete(r.keys, k)
				out.Writes = append(out.Writes, message.Record{Kind: RecordClaim, Key: k})
			}
		}
	}
	if r.whole || !v.Has(r.self) || r.DiskFull {
		return out
	}
	whole, blank := 0, 0
	for _, n := range v.Members {
		h, ok := r.heard[n]
		if h.whole {
			whole++
		}
		if n == r.self || ok && (!h.whole || h.empty) {
			blank++
		}
	}
	// So many meet every majority that a claim may stand on. Where every voter is blank or holds no claim, none is kept:
	// in a new fleet those that are asked later find some whole already, which must not stop them.
	if whole >= enough(v) || blank == len(v.Members) {
		r.whole = true
		out.Writes = append(out.Writes, message.Record{Kind: RecordComplete, Data: []byte{1}})
		return out
	}
	if now.Sub(r.asked) >= again {
		r.asked = now
		for _, n := range v.Members {
			if n != r.self && !r.heard[n].whole {
				out.Send(n, CopyRequest, message.Pack(head{Ver: uint64(v.Version)}))
			}
		}
	}
	return out
}

// enough counts the voters that meet every majority.
func enough(v register.QuorumSet) int { return len(v.Members) - len(v.Members)/2 }
