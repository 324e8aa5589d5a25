package controller

import (
	"seamshunt/internal/boot"
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// voting founds the first set of voters, and has it changed when it should be another; baroMu is held.
func (c *Controller) voting(now units.Time, look register.CoreView) {
	if c.Boot.Grow {
		c.replica.FoundFromSeeds(c.seeds.Set(now, look))
	} else {
		look.FleetExists = look.FleetExists || c.heir
		c.replica.FoundFixed(c.Boot.Founders, look)
	}
	c.replica.ChangeMembers(c.planner.Next(now, c.replica.Quorum(), look))
}

// newPlanner gives the planner of the quorum set that a boot file asks for.
func newPlanner(b *boot.Boot) register.Planner {
	if !b.Grow {
		return register.Planner{FixedSize: b.Founders, ReplaceAfter: register.ReplaceFixedAfter}
	}
	return register.Planner{MinSize: 2*b.LostMachines + 1, ReplaceAfter: register.ReplaceAfter}
}
