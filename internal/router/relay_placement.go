package router

import (
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/units"
)

// placeRelay ranks the workers for a request and sets the request's cost and priority in query. It returns the candidates
// in order and each one's coordinator.
func (v *Router) placeRelay(now units.Time, service *config.Service, request *relayRequest, query *admission.Request) (
	[]string, map[string]units.NodeID) {
	request.priority = priorityByRank(request.mapping)
	if request.hasSize && service.MemoryTokens > 0 {
		estimateCost(request.prompt, service, query)
		request.priority = priorityByPrefillTime(query.PrefillTime)
		if target := request.mapping.Promise.MaxFirstTokenTime * firstTokenTargetPercent / 100; query.PrefillTime < target {
			query.MaxFirstTokenTime = max(0, target-now.Sub(request.startedAt)-service.FirstTokenTime)
		}
	}
	query.Priority = request.priority
	candidates, coordinators := v.candidates(now, service, prefixKey(request.prompt, request.hasSize))
	if request.failedWorker != "" && len(candidates) > 1 && candidates[0] == request.failedWorker {
		candidates = append(candidates[1:], candidates[0])
	}
	return candidates, coordinators
}

// prefixKey returns a hash of the shared prefix of a prompt: all parts but the last, which belongs to the request or its
// session. It returns 0 if there is none.
func prefixKey(p adapter.Prompt, sized bool) uint64 {
	if !sized || len(p.Parts) < 2 {
		return 0
	}
	return units.Mix(p.Parts[len(p.Parts)-2].ID)
}

// firstTokenTargetPercent is the part of the promised time to first token within which the first token is planned.
const firstTokenTargetPercent = 90

// prefillTime estimates how long a typical worker takes to read newTokens that follow cachedTokens.
func prefillTime(s *config.Service, newTokens, cachedTokens int) time.Duration {
	n, cached := float64(newTokens), float64(cachedTokens)
	return time.Duration((n/s.PrefillRate + s.AttentionCost*n*(cached+n/2)/1e6) * float64(time.Millisecond))
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
	shared = min(shared, p.InputTokens)
	query.PreferredCount, query.FullPrefillTime, query.PrefillTime = 1, prefillTime(service, p.InputTokens, 0),
		prefillTime(service, p.InputTokens-shared, shared)
	query.MemoryTokens = uint32(p.InputTokens - shared + p.MaxOutputTokens)
	query.NonPreferredPenalty = 4*(query.FullPrefillTime-query.PrefillTime) + 1
}

// topPriorityPrefillTime is the prefill time up to which a prompt has priority 1, the highest. Each doubling lowers the
// priority by one level, which adds 1 to the number.
const topPriorityPrefillTime = 10 * time.Millisecond

// priorityByPrefillTime returns the priority that the worker schedules by. The prompt with the shortest prefill time goes
// first, since all prompts behind it wait until it is read (docs/design.md, section 12).
func priorityByPrefillTime(read time.Duration) uint8 {
	u := uint8(1)
	for ; read > topPriorityPrefillTime && u < 9; read /= 2 {
		u++
	}
	return u
}

// priorityByRank returns the priority of a request whose prompt size is unknown.
func priorityByRank(m *config.Mapping) uint8 { return uint8(min(9, 2+m.Rank)) }

// connectionShare returns this node's share of the connections that a worker accepts from all nodes together, or 0 if the
// service sets no limit.
func (v *Router) connectionShare(s *config.Service) int {
	if s.MaxConns == 0 {
		return 0
	}
	v.viewMu.Lock()
	n := len(v.view.peers)
	v.viewMu.Unlock()
	return max(2, s.MaxConns*8/10/max(1, n))
}
