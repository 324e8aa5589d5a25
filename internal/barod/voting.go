package barod

import (
	"seamshunt/internal/barograph"
	"seamshunt/internal/units"
)

// voting founds the first set of voters, and has it changed when it should be another; baroMu is held.
func (c *Barometer) voting(now units.Time, look barograph.Look) {
	if c.Boot.Grow {
		c.baro.Propose(c.seeds.Set(now, look))
		if v, ok := c.grower.Next(now, c.baro.Voters(), look); ok {
			c.baro.WantSet(now, v)
		}
		return
	}
	c.baro.Blank(c.Boot.Founders, look)
	if ids := c.doctor.Next(now, c.baro.Voters(), look); ids != nil {
		c.baro.Want(now, ids)
	}
}
