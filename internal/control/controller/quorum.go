package controller

import (
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/settings"
	"seamshunt/internal/units"
)

// voting founds the first set of voters, and has it changed when it should be another; replicaMu is held.
func (c *Controller) voting(now units.Time, look register.ControllerView) {
	if c.Settings.GrowVoters {
		c.replica.BootstrapFromSeeds(c.seeds.Proposal(now, look))
	} else {
		look.FleetExists = look.FleetExists || c.heir
		c.replica.BootstrapFixed(c.Settings.BootstrapDisks, look)
	}
	c.replica.ChangeMembers(c.planner.NextMembers(now, c.replica.Quorum(), look))
	c.checkTolerance(now, look)
}

// shortfall is what the quorum set does not bear of what the settings name.
type shortfall struct {
	text  string     // empty: it bears all
	since units.Time // when the text became this one
	told  bool
}

// shortfallAfter is how long a set may fall short before it is said: a change of members may be under way (start).
const shortfallAfter = 5 * time.Second

// checkTolerance notes what the set does not bear, and logs it once it has stood for a while. Such a set is served all the
// same. replicaMu is held.
func (c *Controller) checkTolerance(now units.Time, look register.ControllerView) {
	wanted := register.Tolerance{Machines: c.Settings.MaxLostMachines, Zones: c.Settings.MaxLostZones}
	text := wanted.Shortfall(c.replica.Quorum(), look)
	if text != c.shortfall.text {
		c.shortfall = shortfall{text: text, since: now}
	}
	if text != "" && !c.shortfall.told && now.Sub(c.shortfall.since) >= shortfallAfter {
		c.shortfall.told = true
		c.Log.WithField("cause", text).Warn("the quorum set bears less than the settings ask for")
	}
}

// newPlanner gives the planner of the quorum set that a boot file asks for.
func newPlanner(b *settings.Settings) register.Planner {
	if !b.GrowVoters {
		return register.Planner{FixedSize: b.BootstrapDisks, ReplaceAfter: register.ReplaceFixedAfter}
	}
	return register.Planner{MinSize: 2*b.MaxLostMachines + 1, ReplaceAfter: register.ReplaceAfter}
}
