package node

import (
	"time"

	"seamshunt/internal/units"
)

// Intervals of a process's loops. While membership is stable nothing in them is due sooner than IdleInterval. Each
// wake-up costs about 50 us of CPU time, which would be wasted on an idle fleet.
const (
	IdleInterval   = 100 * time.Millisecond
	activeInterval = 50 * time.Millisecond
	stableAfter    = 3 * time.Second
)

// updateMembershipVersion stores the version of the membership table and reports whether it has changed.
func (t *Base) updateMembershipVersion(now units.Time, version uint64) bool {
	if version == t.membershipVersion.Load() {
		return false
	}
	t.membershipVersion.Store(version)
	t.membershipChangedAt.Store(int64(now))
	t.notifyChange()
	return true
}

func (t *Base) notifyChange() {
	if t.OnChange != nil {
		t.OnChange()
	}
}

// MembershipStable reports whether membership has been unchanged for longer than stableAfter.
func (t *Base) MembershipStable(now units.Time) bool {
	return now.Sub(units.Time(t.membershipChangedAt.Load())) > stableAfter
}
