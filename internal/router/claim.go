package router

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// withClaimant runs step under the claimant's lock and passes the claims' results to the requests that wait for them.
func (v *Router) withClaimant(step func() message.Effects) {
	v.claimantMu.Lock()
	out := step()
	for _, result := range v.claimant.Results {
		if waiter := v.pendingClaims[result.Token]; waiter != nil {
			delete(v.pendingClaims, result.Token)
			waiter <- result.Code
		}
	}
	v.claimant.Results = nil
	v.claimantMu.Unlock()
	v.Deliver(out)
}

// tickClaimant advances the claims. The longest deadline of the non-repeatable mappings bounds how long a starting node
// abstains from granting claims.
func (v *Router) tickClaimant(now units.Time) {
	var longest time.Duration
	if r := v.activeConfig.Load(); r != nil {
		longest = max(time.Second, r.MaxDeadline(true))
	}
	var peers []units.NodeID
	for _, member := range v.Members() {
		if member.Role == membership.Router && member.State <= membership.Suspect && member.Node != v.Self {
			peers = append(peers, member.Node)
		}
	}
	v.viewMu.Lock()
	voters := v.view.voters
	v.viewMu.Unlock()
	v.withClaimant(func() message.Effects {
		v.claimant.SetVoters(voters)
		return v.claimant.Tick(now, peers, longest)
	})
}

// claimKey claims the client's idempotency key for a non-repeatable mapping, before anything is dispatched
// (docs/design.md, section 8). It reports whether the request has been answered.
func (w *nativeRequest) claimKey() bool {
	if w.key == "" {
		return false
	}
	v := w.router
	key := w.mapping.Name + "/" + w.key
	token := v.nextTag.Add(1)<<8 ^ uint64(v.Self)
	result := make(chan resultcode.Code, 1)
	holders := idempotency.Holders(v.Members(), key)
	v.withClaimant(func() message.Effects {
		v.pendingClaims[token] = result
		return v.claimant.Claim(v.Tasks.Now(), token, key, holders)
	})
	select {
	case code := <-result:
		if code == resultcode.OK {
			w.claimedKey, w.holders = key, holders
		}
		return w.handleClaimResult(code)
	case <-w.client.Done():
		v.claimantMu.Lock()
		delete(v.pendingClaims, token)
		v.claimantMu.Unlock()
		w.checkCancelled()
		w.knownNotRun = false // the claim may have been granted, so the answer must not report "not run"
		return w.endWithRefusal()
	}
}

// handleClaimResult refuses the request unless its claim was granted. It reports whether it refused the request.
func (w *nativeRequest) handleClaimResult(code resultcode.Code) bool {
	switch code {
	case resultcode.OK:
		return false
	case resultcode.KeyClaimed:
		w.router.refuse(w.ctx, code, "the key is claimed already: its request ran, or may run", false, 0)
	case resultcode.KeySpent:
		w.router.refuse(w.ctx, code, "the key's request was said not to run, and it never will: take a new key", true, 0)
	default:
		w.router.refuse(w.ctx, code, "the key could not be claimed: a copy of the request may run elsewhere", false, time.Second)
	}
	return true
}

// spendKey marks the key as spent, so that "not run" stays true although a copy of the request may still be in transit.
func (w *nativeRequest) spendKey() {
	if w.claimedKey != "" {
		w.router.withClaimant(func() message.Effects { return w.router.claimant.Spend(w.claimedKey, w.holders) })
	}
}
