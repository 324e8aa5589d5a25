package windtunnel

import (
	"math/rand/v2"
	"slices"
	"strings"

	"seamshunt/internal/ballot"
	"seamshunt/internal/barograph"
	"seamshunt/internal/bulletin"
	"seamshunt/internal/isobar"
	"seamshunt/internal/mast"
	"seamshunt/internal/nephoscope"
	"seamshunt/internal/screen"
	"seamshunt/internal/station"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// common is what both programs share, as package tower has it in the daemons.
type common struct {
	mast *mast.Mast
	bull *bulletin.Bulletin
}

func (s *Sim) common(h *Host, self units.Node, role mast.Role, seeds []string) common {
	me := mast.Member{Node: self, Inc: uint64(s.Now) + 1, Role: role, Addr: h.Addr, Zone: h.Zone}
	return common{mast.New(me, seeds, rand.New(rand.NewPCG(s.Rng.Uint64(), 3))), bulletin.New(self)}
}

func (c *common) beat(now units.Time, self units.Node) ([]mast.Member, station.Out) {
	c.mast.News = c.bull.Sum
	out := c.mast.Tick(now)
	all := c.mast.All()
	out.Join(c.bull.Beat(now, all, self))
	return all, out
}

// Core is a simulated barometer.
type Core struct {
	common
	*Proc
	H     *Host
	Baro  *barograph.Barograph
	Duty  *ballot.Ballot
	doc   barograph.Doctor
	found barograph.Seeds
	grow  barograph.Grower
	Iso   *isobar.Isobar
	Roll  *screen.Roll
	sky   *nephoscope.Nephoscope
	turn  nephoscope.Turn
	poll  func(*Core, units.Time) // asks the world's platform
	waits map[uint64]func(barograph.Result)
	tag   uint64
	Drain bool
}

// Core adds a machine with a disk; cores finds the machine that runs there now. With grow, voters are founded from seeds.
func (s *Sim) Core(addr, zone string, founders int, seeds []string, grow *Growth, cores map[*Host]*Core) *Host {
	return s.Add(addr, zone, NewDisk(), func(h *Host) *Proc {
		h.Grow = grow
		if g := h.Grow; h.Disk.ID == 0 {
			h.Disk.ID = units.Node(s.Rng.Uint64() | 1)
			if g != nil && g.First && g.Counts {
				h.Disk.Born = slices.Clone(g.Seeds)
			}
		}
		self, seeds := h.Disk.ID, seeds
		if h.Grow != nil {
			seeds = h.Grow.Seeds
		}
		c := &Core{common: s.common(h, self, mast.Barometer, seeds), H: h, doc: barograph.Doctor{Founders: founders}, sky: nephoscope.New(), poll: s.Poll, waits: map[uint64]func(barograph.Result){}}
		c.mast.Flag(mast.Counts, h.Grow == nil || h.Grow.Counts)
		if g := h.Grow; g != nil {
			c.found = barograph.Seeds{Addr: h.Addr, Addrs: h.Disk.Born, First: h.Disk.Born != nil}
			if !g.Counts {
				c.found.Addrs, c.found.First = slices.Clone(g.Seeds), g.First
			}
			c.mast.Flag(mast.First, c.found.First)
			g.First = false
		}
		c.Proc = &Proc{Self: self, Step: c.step, Tick: c.tick, Refused: func(now units.Time, a string) {
			for _, n := range c.mast.Refused(now, a) {
				c.Duty.Gone(now, n)
			}
		},
			Woke: func(now units.Time) {
				c.Duty.Drop()
				c.Baro.Woke(now)
			}}
		c.Reload = func() {
			c.Baro = barograph.New(self, units.Node(s.Rng.Uint64()))
			if err := c.Baro.Load(h.Disk.Records()); err != nil {
				panic(err)
			}
			c.Roll = screen.LoadRoll(self, s.Now, h.Disk.Records())
		}
		c.Reload()
		c.Duty = ballot.New(self, "platform", func() []units.Node { return c.Baro.Voters().IDs }, s.Now, rand.New(rand.NewPCG(s.Rng.Uint64(), 5)))
		c.Iso = isobar.New(self, s.Now, rand.New(rand.NewPCG(s.Rng.Uint64(), 6)))
		c.bull.Stored = func() map[string]units.Num { return c.Baro.Stored() }
		cores[h] = c
		return c.Proc
	})
}

func (c *Core) step(now units.Time, n station.Note) station.Out {
	switch n.Kind &^ 15 {
	case station.Mast:
		return c.mast.Step(now, n)
	case station.Bulletin:
		return c.bull.Step(now, n)
	case station.Ballot:
		return c.Duty.Step(now, n)
	case station.Isobar:
		return c.Iso.Step(n, c.Baro.Slots(), c.Baro.Mend)
	case station.Claim:
		return c.Roll.Step(now, n, c.Baro.Ver())
	case station.Barograph:
		out := c.Baro.Step(now, n)
		c.drain(now, &out)
		return out
	}
	return station.Out{}
}

func (c *Core) tick(now units.Time) station.Out {
	c.mast.Flag(mast.Unfit, c.H.Disk.Unfit(now) || !c.Baro.Reaches(now))
	c.mast.Flag(mast.Draining, c.Drain)
	all, out := c.beat(now, c.Self)
	look := barograph.LookAt(all)
	if it := c.bull.Items[barograph.KeyVoters]; it != nil {
		out.Join(c.Baro.Learn(it.Data))
	}
	c.Baro.View(look.Fit)
	if c.H.Grow != nil {
		c.Baro.Propose(c.found.Set(now, look))
		if v, ok := c.grow.Next(now, c.Baro.Voters(), look); ok {
			c.Baro.WantSet(now, v)
		}
	} else {
		c.Baro.Blank(c.doc.Founders, look)
		if ids := c.doc.Next(now, c.Baro.Voters(), look); ids != nil {
			c.Baro.Want(now, ids)
		}
	}
	out.Join(c.Baro.Tick(now))
	c.Roll.Low = c.H.Disk.Full
	out.Join(c.Roll.Tick(now, c.Baro.Voters()))
	voter := c.Baro.Voters().Has(c.Self)
	c.mast.Flag(mast.Voter, voter)
	c.drain(now, &out)
	out.Join(c.Duty.Tick(now, voter && !c.Drain))
	out.Join(c.Iso.Tick(now, c.Baro.Voters().IDs, c.Baro.Slots()))
	for _, it := range c.bull.Fresh {
		if strings.HasPrefix(it.Key, nephoscope.Prefix) {
			_, _ = c.sky.Take(now, it.Key, it.Num, it.Data)
		}
	}
	c.bull.Fresh = nil
	if c.poll != nil && !c.Drain && c.turn.Due(now, c.Duty.Share(now), pollGap) {
		c.poll(c, now)
	}
	return out
}

func (c *Core) drain(now units.Time, out *station.Out) {
	for _, r := range c.Baro.Results {
		if f := c.waits[r.Tag]; f != nil {
			delete(c.waits, r.Tag)
			f(r)
		}
	}
	c.Baro.Results = nil
	fresh := c.Baro.Fresh
	c.Baro.Fresh = nil
	for _, x := range fresh {
		c.spread(now, bulletin.Item{Key: x.Key, Num: x.Num, Data: slices.Clone(x.Data)}, out)
	}
}

func (c *Core) spread(now units.Time, it bulletin.Item, out *station.Out) {
	var to []units.Node
	for _, m := range c.mast.All() {
		if m.State <= mast.Suspect && m.Node != c.Self {
			to = append(to, m.Node)
		}
	}
	out.Join(c.bull.Spread(now, it, to))
}

// Ask brings an operator's wish to this machine; done hears the result, or Unsure once patience is over.
func (c *Core) Ask(s *Sim, a barograph.Ask, done func(barograph.Result)) {
	c.tag++
	a.Tag = c.tag
	tag := a.Tag
	c.waits[tag] = done
	s.Inject(c.H, func(now units.Time) station.Out {
		out := c.Baro.Ask(now, a)
		c.drain(now, &out)
		return out
	})
	s.After(barograph.Patience, func() {
		if f := c.waits[tag]; f != nil {
			delete(c.waits, tag)
			r := barograph.Result{Code: synop.NoMajority}
			if a.Write {
				r.Code = synop.Unsure
			}
			f(r)
		}
	})
}
