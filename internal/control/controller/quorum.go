package controller

import (
	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// voting founds the first set of voters, and has it changed when it should be another; baroMu is held.
func (c *Controller) voting(now units.Time, look register.CoreView) {
	if c.Boot.Grow {
		c.replica.FoundFromSeeds(c.seeds.Set(now, look))
		if v, ok := c.grower.Next(now, c.replica.Quorum(), look); ok {
			c.replica.ChangeMembers(now, v)
		}
		return
	}
	look.FleetExists = look.FleetExists || c.heir
	c.replica.FoundFixed(c.Boot.Founders, look)
	if ids := c.doctor.Next(now, c.replica.Quorum(), look); ids != nil {
		c.replica.Want(now, ids)
	}
}
