package router

import (
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/units"
)

// placeRelay ranks the workers for a request and sets the request's cost and urgency in query. It returns the candidates in order
// and each one's coordinator.
func (v *Router) placeRelay(now units.Time, service *config.Service, request *relayRequest, query *admission.Request) (
	[]string, map[string]units.NodeID) {
	request.urgency = urgencyByRank(request.mapping)
	if request.hasSize && service.Memory > 0 {
		estimateCost(request.prompt, service, query)
		request.urgency = urgencyOf(query.PrefillTime)
		if target := request.mapping.Promise.First * firstOutputTargetPercent / 100; query.PrefillTime < target {
			query.MaxFirstTokenTime = max(0, target-now.Sub(request.startedAt)-service.First)
		}
	}
	query.Priority = request.urgency
	candidates, coordinators := v.candidates(now, service, prefixKey(request.prompt, request.hasSize))
	if request.failedWorker != "" && len(candidates) > 1 && candidates[0] == request.failedWorker {
		candidates = append(candidates[1:], candidates[0])
	}
	return candidates, coordinators
}

// prefixKey returns a hash of the shared prefix of a prompt: all parts but the last, which belongs to the request or its session.
// It returns 0 if there is none.
func prefixKey(p adapter.Prompt, sized bool) uint64 {
	if !sized || len(p.Parts) < 2 {
		return 0
	}
	return units.Mix(p.Parts[len(p.Parts)-2].ID)
}

// firstOutputTargetPercent is the part of the promised time to first output within which the first output is planned.
const firstOutputTargetPercent = 90

// readTime estimates how long a typical worker takes to read newTokens that follow cachedTokens.
func readTime(s *config.Service, newTokens, cachedTokens int) time.Duration {
	n, cached := float64(newTokens), float64(cachedTokens)
	return time.Duration((n/s.Reads + s.Pairs*n*(cached+n/2)/1e6) * float64(time.Millisecond))
}

// estimateCost sets the cost of a prompt for a worker that has cached its shared prefix and for one that has not
// (docs/design.md, section 12).
func estimateCost(p adapter.Prompt, service *config.Service, query *admission.Request) {
	shared := 0
	for i, x := range p.Parts {
		if i < len(p.Parts)-1 {
			shared += x.Tokens
		}
	}
	shared = min(shared, p.In)
	query.PreferredCount, query.FullPrefillTime, query.PrefillTime = 1, readTime(service, p.In, 0), readTime(service, p.In-shared, shared)
	query.MemoryTokens = uint32(p.In - shared + p.Out)
	query.NonPreferredPenalty = 4*(query.FullPrefillTime-query.PrefillTime) + 1
}

// topUrgencyReadTime is the read time up to which a prompt has urgency 1, the highest. Each doubling lowers the urgency by one
// level, which adds 1 to the number.
const topUrgencyReadTime = 10 * time.Millisecond

// urgencyOf returns the urgency that the worker schedules by. The prompt with the shortest read time goes first, since all
// prompts behind it wait until it is read (docs/design.md, section 12).
func urgencyOf(read time.Duration) uint8 {
	u := uint8(1)
	for ; read > topUrgencyReadTime && u < 9; read /= 2 {
		u++
	}
	return u
}

// urgencyByRank returns the urgency of a request whose prompt size is unknown.
func urgencyByRank(m *config.Mapping) uint8 { return uint8(min(9, 2+m.Rank)) }

// connectionShare returns this node's share of the connections that a worker accepts from all nodes together, or 0 if the
// service sets no limit.
func (v *Router) connectionShare(s *config.Service) int {
	if s.Conns == 0 {
		return 0
	}
	v.viewMu.Lock()
	n := len(v.view.peers)
	v.viewMu.Unlock()
	return max(2, s.Conns*8/10/max(1, n))
}
