package router

import (
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/units"
)

// place orders the workers for one request, and says what each would have to read and hold.
func (v *Router) place(now units.Time, s *config.Service, w *relay, q *admission.Request) ([]string, map[string]units.NodeID) {
	w.urge = byRank(w.m)
	if w.sized && s.MemoryTokens > 0 {
		size(w.prompt, s, q)
		w.urge = urgency(q.PrefillTime)
		if aim := w.m.Promise.MaxFirstTokenTime * soon / 100; q.PrefillTime < aim {
			q.MaxFirstTokenTime = max(0, aim-now.Sub(w.begun)-s.FirstTokenTime)
		}
	}
	q.Priority = w.urge
	cands, keepers := v.candidates(now, s, homeKey(w.prompt, w.sized))
	if w.broke != "" && len(cands) > 1 && cands[0] == w.broke {
		cands = append(cands[1:], cands[0])
	}
	return cands, keepers
}

// homeKey names the shared parts of a prompt: all but the last, which is its own or its session's.
func homeKey(p adapter.Prompt, sized bool) uint64 {
	if !sized || len(p.Parts) < 2 {
		return 0
	}
	return units.Mix(p.Parts[len(p.Parts)-2].ID)
}

// soon is the part of the aim, in hundredths, within which first words are to be reckoned with (start value).
const soon = 90

// reads is how long a usual worker takes to read tokens of which so many others stand before.
func reads(s *config.Service, own, before int) time.Duration {
	n, b := float64(own), float64(before)
	return time.Duration((n/s.PrefillRate + s.AttentionCost*n*(b+n/2)/1e6) * float64(time.Millisecond))
}

// size works out what a prompt costs a worker that holds its shared parts, and one that doesn't (design 12).
func size(p adapter.Prompt, s *config.Service, q *admission.Request) {
	shared := 0
	for i, x := range p.Parts {
		if i < len(p.Parts)-1 {
			shared += x.Tokens
		}
	}
	shared = min(shared, p.InputTokens)
	q.PreferredCount, q.FullPrefillTime, q.PrefillTime = 1, reads(s, p.InputTokens, 0), reads(s, p.InputTokens-shared, shared)
	q.MemoryTokens = uint32(p.InputTokens - shared + p.MaxOutputTokens)
	q.NonPreferredPenalty = 4*(q.FullPrefillTime-q.PrefillTime) + 1
}

// briefest is the reading time up to which a prompt is of the first urgency; each doubling is one lower.
const briefest = 10 * time.Millisecond

// urgency tells the worker who goes first: the briefest prompt, since all behind it wait for its reading (design 12).
func urgency(read time.Duration) uint8 {
	u := uint8(1)
	for ; read > briefest && u < 9; read /= 2 {
		u++
	}
	return u
}

// byRank is the urgency of what has no size.
func byRank(m *config.Mapping) uint8 { return uint8(min(9, 2+m.Rank)) }

// connsOf is this node's part of the connections that a worker accepts from all nodes together.
func (v *Router) connsOf(s *config.Service) int {
	if s.MaxConns == 0 {
		return 0
	}
	v.tableMu.Lock()
	n := len(v.table.peers)
	v.tableMu.Unlock()
	return max(2, s.MaxConns*8/10/max(1, n))
}
