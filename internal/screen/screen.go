// Package screen shelters what may not repeat: a caller's key is claimed at a majority of three vanes before
// the prompt is handed over (design 8).
package screen

import (
	"time"

	"seamshunt/internal/station"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// The notes of claims.
const (
	Claim = station.Claim + iota
	Claimed
	Burn
	CopyAsk
	Copy
)

// What a holder says of a key.
const (
	granted uint8 = 1 + iota
	taken
	burned
	abstain
)

// Spans (start values).
const (
	again  = 150 * time.Millisecond
	giveUp = 450 * time.Millisecond
	Keep   = 10 * time.Minute // how long a key is remembered
	slots  = 3
	settle = 2 * time.Second // till all nodes know of a new machine, and so agree on a key's holders
)

type head struct {
	Token uint64
	State uint8
}

type entry struct {
	token uint64
	burnt bool
	at    units.Time
}

type pending struct {
	key     string
	holders []units.Node
	got     map[units.Node]bool
	since   units.Time
	sent    units.Time
}

// Result of a claim: OK, Claimed, Burned or NoClaim.
type Result struct {
	Token uint64
	Code  synop.Code
}

// Screen is the step machine: holder of others' claims and claimant of its own callers'.
type Screen struct {
	self    units.Node
	born    units.Time
	keys    map[string]entry
	pends   map[uint64]*pending
	copied  map[units.Node]bool
	whole   bool
	asked   units.Time
	swept   units.Time
	Results []Result
}

// New gives a node that remembers nothing and so abstains.
func New(self units.Node, now units.Time) *Screen {
	return &Screen{self: self, born: now, keys: map[string]entry{}, pends: map[uint64]*pending{}, copied: map[units.Node]bool{}}
}

// Claim asks the holders for a key under a token that is this node's own.
func (s *Screen) Claim(now units.Time, token uint64, key string, holders []units.Node) (out station.Out) {
	p := &pending{key: key, holders: holders, got: map[units.Node]bool{}, since: now}
	s.pends[token] = p
	s.ask(now, token, p, &out)
	return out
}

func (s *Screen) ask(now units.Time, token uint64, p *pending, out *station.Out) {
	p.sent = now
	for _, n := range p.holders {
		if n != 0 && !p.got[n] {
			out.Send(n, Claim, station.Pack(head{Token: token}, []byte(p.key)))
		}
	}
}

// Burn makes a key useless for ever: the holder of its claim says that it did not run. Only a node whose claim
// was granted may burn; to others the key's prompt may be running elsewhere.
func (s *Screen) Burn(key string, holders []units.Node) (out station.Out) {
	for _, n := range holders {
		if n != 0 {
			out.Send(n, Burn, station.Pack(head{}, []byte(key)))
		}
	}
	return out
}

func (s *Screen) end(token uint64, c synop.Code) {
	delete(s.pends, token)
	s.Results = append(s.Results, Result{token, c})
}

// Tick asks again, gives up, forgets old keys, and copies what others remember after a start.
func (s *Screen) Tick(now units.Time, peers []units.Node, longest time.Duration) (out station.Out) {
	for _, token := range station.Keys(s.pends) {
		p := s.pends[token]
		switch {
		case now.Sub(p.since) >= giveUp:
			s.end(token, synop.NoClaim) // nothing is burned: another copy may hold the key and run
		case now.Sub(p.sent) >= again:
			s.ask(now, token, p, &out)
		}
	}
	if now.Sub(s.swept) > time.Second {
		s.swept = now
		for k, e := range s.keys {
			if now.Sub(e.at) > Keep {
				delete(s.keys, k)
			}
		}
	}
	if s.whole || longest == 0 {
		return out
	}
	missing := false
	for _, n := range peers {
		missing = missing || !s.copied[n]
	}
	known := now.Sub(s.born) >= settle
	if known && len(peers) > 0 && !missing || now.Sub(s.born) > max(longest, settle) {
		s.whole = true
		return out
	}
	if now.Sub(s.asked) >= again {
		s.asked = now
		for _, n := range peers {
			if !s.copied[n] {
				out.Send(n, CopyAsk, nil)
			}
		}
	}
	return out
}

// Whole says whether this node takes part in claims.
func (s *Screen) Whole() bool { return s.whole }

// Step takes one note.
func (s *Screen) Step(now units.Time, n station.Note) (out station.Out) {
	var h head
	var key []byte
	switch n.Kind {
	case CopyAsk:
		if s.whole {
			out.Send(n.From, Copy, s.pack())
		}
		return out
	case Copy:
		out.Fail(s.take(now, n))
		return out
	}
	if err := station.Unpack(n.Body, &h, &key); err != nil {
		out.Fail(err)
		return out
	}
	switch n.Kind {
	case Claim:
		h.State = s.hold(now, h.Token, string(key))
		out.Send(n.From, Claimed, station.Pack(h, key))
	case Burn:
		e := s.keys[string(key)]
		e.burnt, e.at = true, now
		s.keys[string(key)] = e
	case Claimed:
		s.heard(n.From, h, &out)
	}
	return out
}

func (s *Screen) hold(now units.Time, token uint64, key string) uint8 {
	e, ok := s.keys[key]
	switch {
	case ok && e.burnt:
		return burned
	case ok && e.token != token:
		return taken
	case !ok && !s.whole:
		return abstain
	}
	s.keys[key] = entry{token: token, at: now}
	return granted
}

func (s *Screen) heard(from units.Node, h head, out *station.Out) {
	p := s.pends[h.Token]
	if p == nil {
		return
	}
	switch h.State {
	case taken:
		s.end(h.Token, synop.Claimed)
	case burned:
		s.end(h.Token, synop.Burned)
	case granted:
		p.got[from] = true
		k := 0
		for _, n := range p.holders {
			if p.got[n] {
				k++
			}
		}
		if k > len(p.holders)/2 {
			s.end(h.Token, synop.OK)
		}
	}
}
