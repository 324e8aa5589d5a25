package barograph

import (
	"bytes"
	"slices"
	"time"

	"seamshunt/internal/station"
	"seamshunt/internal/units"
)

// founding is the one time that blank disks write the first set of voters (design 2).
type founding struct {
	set  Voters
	lead bool // it is this node that asks for the votes
	got  map[units.Node]bool
	sent units.Time
}

// Blank tells the machine how many founding disks the boot file names, and which blank disks membership
// shows now. Another number than want, or any word of a fleet that stands, and nobody founds.
func (b *Barograph) Blank(want int, l Look) {
	if b.cfg.Ver > 0 {
		return
	}
	if b.found == nil {
		b.found = &founding{}
	}
	f := b.found
	ids := slices.Clone(l.Blanks)
	slices.Sort(ids)
	if l.Fleet || len(ids) != want || !slices.Contains(ids, b.self) {
		f.set = Voters{}
		return
	}
	if !slices.Equal(ids, f.set.IDs) {
		f.set, f.got = Voters{Ver: 1, IDs: ids}, map[units.Node]bool{}
	}
	f.lead = ids[0] == b.self
}

// Propose tells the machine which set this node sees to found, none while it sees none, and whether it is this node that
// asks for the votes. A disk that has voted stays with its vote, whatever is seen (design 13).
func (b *Barograph) Propose(ids []units.Node, lead bool) {
	if b.cfg.Ver > 0 {
		return
	}
	if b.found == nil {
		b.found = &founding{}
	}
	f, set := b.found, Voters{}
	if v, err := UnpackVoters(b.vote); b.vote != nil && err == nil {
		set, lead = v, v.IDs[0] == b.self
	} else if len(ids) > 0 {
		set = Voters{Ver: 1, Size: len(ids), IDs: ids}
	}
	if f.lead = lead; !slices.Equal(set.IDs, f.set.IDs) {
		f.set, f.got = set, map[units.Node]bool{}
	}
}

func (b *Barograph) foundTick(now units.Time, out *station.Out) {
	f := b.found
	if f == nil || f.set.Ver == 0 || !f.lead || now.Sub(f.sent) < 300*time.Millisecond {
		return
	}
	f.sent = now
	for _, n := range f.set.IDs {
		if !f.got[n] {
			out.Send(n, Found, b.pack(head{}, "", f.set.Pack()))
		}
	}
}

// foundVote: a blank disk votes for one set in its life, the one it sees itself.
func (b *Barograph) foundVote(n station.Note, body []byte, out *station.Out) {
	if b.cfg.Ver > 0 || b.found == nil || !b.found.set.Has(b.self) || !bytes.Equal(b.found.set.Pack(), body) {
		return
	}
	if b.vote != nil && !bytes.Equal(b.vote, body) {
		return
	}
	if b.vote == nil {
		b.vote = bytes.Clone(body)
		out.Writes = append(out.Writes, station.Record{Kind: RecFound, Data: b.vote})
	}
	out.Later(n.From, Founded, b.pack(head{}, "", body))
}

// foundCount: only when all have voted does the set stand.
func (b *Barograph) foundCount(n station.Note, body []byte, out *station.Out) {
	f := b.found
	if b.cfg.Ver > 0 || f == nil || f.set.Ver == 0 || !bytes.Equal(f.set.Pack(), body) {
		return
	}
	f.got[n.From] = true
	for _, x := range f.set.IDs {
		if !f.got[x] {
			return
		}
	}
	v := f.set
	b.adopt(v, out)
	for _, x := range v.IDs {
		if x != b.self {
			out.Later(x, Done, b.pack(head{}, "", nil))
		}
	}
}
