package router

import (
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/units"
)

// placeRelay orders the workers for one request, and says what each would have to read and hold.
func (v *Router) placeRelay(now units.Time, service *config.Service, request *relayRequest, query *admission.Request) ([]string, map[string]units.Node) {
	request.urgency = urgencyByRank(request.mapping)
	if request.hasSize && service.Memory > 0 {
		estimateCost(request.prompt, service, query)
		request.urgency = urgencyOf(query.Read)
		if target := request.mapping.Promise.First * firstOutputTargetPercent / 100; query.Read < target {
			query.Soon = max(0, target-now.Sub(request.startedAt)-service.First)
		}
	}
	query.Urge = request.urgency
	candidates, coordinators := v.candidates(now, service, prefixKey(request.prompt, request.hasSize))
	if request.failedWorker != "" && len(candidates) > 1 && candidates[0] == request.failedWorker {
		candidates = append(candidates[1:], candidates[0])
	}
	return candidates, coordinators
}

// prefixKey names the shared parts of a prompt: all but the last, which is its own or its session's.
func prefixKey(p adapter.Prompt, sized bool) uint64 {
	if !sized || len(p.Parts) < 2 {
		return 0
	}
	return units.Mix(p.Parts[len(p.Parts)-2].ID)
}

// firstOutputTargetPercent is the part of the aim, in hundredths, within which first words are to be reckoned with (start value).
const firstOutputTargetPercent = 90

// readTime is how long a usual worker takes to read tokens of which so many others stand before.
func readTime(s *config.Service, newTokens, cachedTokens int) time.Duration {
	n, b := float64(newTokens), float64(cachedTokens)
	return time.Duration((n/s.Reads + s.Pairs*n*(b+n/2)/1e6) * float64(time.Millisecond))
}

// estimateCost works out what a prompt costs a worker that holds its shared parts, and one that doesn't (design 12).
func estimateCost(p adapter.Prompt, service *config.Service, query *admission.Request) {
	shared := 0
	for i, x := range p.Parts {
		if i < len(p.Parts)-1 {
			shared += x.Tokens
		}
	}
	shared = min(shared, p.In)
	query.Homes, query.Full, query.Read = 1, readTime(service, p.In, 0), readTime(service, p.In-shared, shared)
	query.Mem = uint32(p.In - shared + p.Out)
	query.Away = 4*(query.Full-query.Read) + 1
}

// topUrgencyReadTime is the reading time up to which a prompt is of the first urgency; each doubling is one lower.
const topUrgencyReadTime = 10 * time.Millisecond

// urgencyOf tells the worker who goes first: the briefest prompt, since all behind it wait for its reading (design 12).
func urgencyOf(read time.Duration) uint8 {
	u := uint8(1)
	for ; read > topUrgencyReadTime && u < 9; read /= 2 {
		u++
	}
	return u
}

// urgencyByRank is the urgency of what has no size.
func urgencyByRank(m *config.Mapping) uint8 { return uint8(min(9, 2+m.Rank)) }

// connectionShare is this node's part of the connections that a worker accepts from all nodes together.
func (v *Router) connectionShare(s *config.Service) int {
	if s.Conns == 0 {
		return 0
	}
	v.viewMu.Lock()
	n := len(v.view.peers)
	v.viewMu.Unlock()
	return max(2, s.Conns*8/10/max(1, n))
}
