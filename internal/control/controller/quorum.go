package controller

import (
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/settings"
	"seamshunt/internal/units"
)

// updateQuorum bootstraps the first quorum set and requests changes to the members that the planner wants. replicaMu must
// be held.
func (c *Controller) updateQuorum(now units.Time, view register.ControllerView) {
	if c.Settings.GrowVoters {
		c.replica.BootstrapFromSeeds(c.bootstrapSeeds.Proposal(now, view))
	} else {
		view.FleetExists = view.FleetExists || c.damageSetAside
		c.replica.BootstrapFixed(c.Settings.BootstrapDisks, view)
	}
	c.replica.ChangeMembers(c.planner.NextMembers(now, c.replica.Quorum(), view))
	c.checkTolerance(now, view)
}

// shortfall describes the fault tolerance that the settings require and the quorum set lacks.
type shortfall struct {
	text     string     // empty if nothing is lacking
	since    units.Time // when the text last changed
	reported bool
}

// shortfallReportDelay is how long a shortfall must last before it is logged: a change of members may be in progress.
const shortfallReportDelay = 5 * time.Second

// checkTolerance updates the shortfall and logs it once after shortfallReportDelay. A quorum set with a shortfall serves
// requests as usual. replicaMu must be held.
func (c *Controller) checkTolerance(now units.Time, view register.ControllerView) {
	wanted := register.Tolerance{Machines: c.Settings.MaxLostMachines, Zones: c.Settings.MaxLostZones}
	text := wanted.Shortfall(c.replica.Quorum(), view)
	if text != c.shortfall.text {
		c.shortfall = shortfall{text: text, since: now}
	}
	if text != "" && !c.shortfall.reported && now.Sub(c.shortfall.since) >= shortfallReportDelay {
		c.shortfall.reported = true
		c.Log.WithField("cause", text).Warn("the quorum set tolerates fewer faults than the settings require")
	}
}

// newPlanner returns the planner of the quorum set for a node's settings.
func newPlanner(nodeSettings *settings.Settings) register.Planner {
	if !nodeSettings.GrowVoters {
		return register.Planner{FixedSize: nodeSettings.BootstrapDisks, ReplaceAfter: register.ReplaceFixedAfter}
	}
	return register.Planner{MinSize: 2*nodeSettings.MaxLostMachines + 1, ReplaceAfter: register.ReplaceAfter}
}
