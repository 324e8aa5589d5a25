package router

import (
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// screened does a thing under the claimant's lock, and passes results to those who wait.
func (v *Router) screened(f func() message.Effects) {
	v.claimantMu.Lock()
	out := f()
	for _, r := range v.claimant.Results {
		if c := v.claims[r.Token]; c != nil {
			delete(v.claims, r.Token)
			c <- r.Code
		}
	}
	v.claimant.Results = nil
	v.claimantMu.Unlock()
	v.Deliver(out)
}

// screenTick moves claims on; the longest time left of what may not repeat is how long a start abstains at most.
func (v *Router) screenTick(now units.Time) {
	var longest time.Duration
	if r := v.rules.Load(); r != nil {
		longest = max(time.Second, r.MaxDeadline(true))
	}
	var peers []units.NodeID
	for _, m := range v.Members() {
		if m.Role == membership.Router && m.State <= membership.Suspect && m.Node != v.Self {
			peers = append(peers, m.Node)
		}
	}
	v.tableMu.Lock()
	core := v.table.voters
	v.tableMu.Unlock()
	v.screened(func() message.Effects {
		v.claimant.SetVoters(core)
		return v.claimant.Tick(now, peers, longest)
	})
}

// claim takes the caller's key for a mapping that may not repeat, before anything is handed over (design 8).
func (w *ownRequest) claim() bool {
	if w.key == "" {
		return false
	}
	v := w.v
	key := w.m.Name + "/" + w.key
	token := v.tag.Add(1)<<8 ^ uint64(v.Self)
	c := make(chan resultcode.Code, 1)
	holders := idempotency.Holders(v.Members(), key)
	v.screened(func() message.Effects {
		v.claims[token] = c
		return v.claimant.Claim(v.Tasks.Now(), token, key, holders)
	})
	select {
	case code := <-c:
		if code == resultcode.OK {
			w.claimed, w.holders = key, holders
		}
		return w.claimedAs(code)
	case <-w.client.Done():
		v.claimantMu.Lock()
		delete(v.claims, token)
		v.claimantMu.Unlock()
		w.cancelled()
		w.sure = false // the claim may stand, so nothing is promised for the key
		return w.end()
	}
}

func (w *ownRequest) claimedAs(c resultcode.Code) bool {
	switch c {
	case resultcode.OK:
		return false
	case resultcode.KeyClaimed:
		w.v.refuse(w.ctx, c, "the key is claimed already: its request ran, or may run", false, 0)
	case resultcode.KeySpent:
		w.v.refuse(w.ctx, c, "the key's request was said not to run, and it never will: take a new key", true, 0)
	default:
		w.v.refuse(w.ctx, c, "the key could not be claimed: a copy of the request may run elsewhere", false, time.Second)
	}
	return true
}

// burn keeps "not run" true for a key whose copy may still be on its way.
func (w *ownRequest) burn() {
	if w.claimed != "" {
		w.v.screened(func() message.Effects { return w.v.claimant.Spend(w.claimed, w.holders) })
	}
}
