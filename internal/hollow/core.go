package hollow

import (
	"math/rand/v2"
	"strings"
	"time"

	"seamshunt/internal/ballot"
	"seamshunt/internal/barograph"
	"seamshunt/internal/bulletin"
	"seamshunt/internal/isobar"
	"seamshunt/internal/mast"
	"seamshunt/internal/nephoscope"
	"seamshunt/internal/screen"
	"seamshunt/internal/station"
	"seamshunt/internal/units"
)

// Founders vote; the other machines that are set aside for control stand by.
const (
	Founders = 5
	Aside    = 8
	pollGap  = 500 * time.Millisecond
)

// core is package barod without its web side, its locks and its file.
type core struct {
	n    *node
	baro *barograph.Barograph
	duty *ballot.Ballot
	iso  *isobar.Isobar
	roll *screen.Roll
	sky  *nephoscope.Nephoscope
	turn map[string]*nephoscope.Turn
	doc  barograph.Doctor
	tag  uint64
}

func newCore(n *node) *core {
	w := n.w
	c := &core{n: n, baro: barograph.New(n.self, units.Node(w.rng.Uint64())), roll: screen.LoadRoll(n.self, w.Now, nil), sky: nephoscope.New(),
		turn: map[string]*nephoscope.Turn{}, doc: barograph.Doctor{Founders: Founders}}
	c.duty = ballot.New(n.self, "platform", func() []units.Node { return c.baro.Voters().IDs }, w.Now, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	c.iso = isobar.New(n.self, w.Now, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	n.bull.Stored = func() map[string]units.Num { return c.baro.Stored() }
	return c
}

func (c *core) step(now units.Time, n station.Note) (out station.Out) {
	switch n.Kind &^ 15 {
	case station.Ballot:
		return c.duty.Step(now, n)
	case station.Isobar:
		return c.iso.Step(n, c.baro.Slots(), c.baro.Mend)
	case station.Claim:
		return c.roll.Step(now, n, c.baro.Ver())
	case station.Barograph:
		out = c.baro.Step(now, n)
		c.drain(now, &out)
	}
	return out
}

func (c *core) gone(now units.Time, l []units.Node) {
	for _, n := range l {
		c.duty.Gone(now, n)
	}
}

func (c *core) calm(units.Time) bool {
	return c.baro.Voters().Ver > 0 && (c.roll.Whole() || !c.baro.Voters().Has(c.n.self))
}

// beat is the barometer's loop, and its poller's.
func (c *core) beat(now units.Time, _ []mast.Member) station.Out {
	m := c.n.mast
	all := m.All()
	look := barograph.LookAt(all)
	var out station.Out
	if it := c.n.bull.Items[barograph.KeyVoters]; it != nil {
		out.Join(c.baro.Learn(it.Data))
	}
	for _, it := range c.n.bull.Fresh {
		if strings.HasPrefix(it.Key, nephoscope.Prefix) {
			_, _ = c.sky.Take(now, it.Key, it.Num, it.Data)
		}
	}
	c.n.bull.Fresh = nil
	c.baro.View(look.Fit)
	c.baro.Blank(Founders, look)
	if ids := c.doc.Next(now, c.baro.Voters(), look); ids != nil {
		c.baro.Want(now, ids)
	}
	out.Join(c.baro.Tick(now))
	out.Join(c.roll.Tick(now, c.baro.Voters()))
	out.Join(c.iso.Tick(now, c.baro.Voters().IDs, c.baro.Slots()))
	voter := c.baro.Voters().Has(c.n.self)
	m.Flag(mast.Voter, voter)
	m.Flag(mast.Unfit, !c.baro.Reaches(now))
	c.drain(now, &out)
	out.Join(c.duty.Tick(now, voter))
	c.poll(now, &out)
	return out
}

// poll asks the world's platform for each pool, at this node's share of the fleet's rate.
func (c *core) poll(now units.Time, out *station.Out) {
	share := c.duty.Share(now)
	for _, p := range c.n.w.poolNames {
		t := c.turn[p]
		if t == nil {
			t = &nephoscope.Turn{}
			c.turn[p] = t
		}
		if !t.Due(now, share, pollGap) {
			continue
		}
		c.n.w.Polls++
		a := c.sky.Ask(now, p, c.n.self, int64(1e12)+int64(now)/1e6)
		if data, news := c.sky.Heard(a, c.n.w.listed(p)); news {
			c.spread(now, bulletin.Item{Key: nephoscope.Key(p, c.n.self), Num: a.Num, Data: data}, out)
		}
	}
}

func (c *core) drain(now units.Time, out *station.Out) {
	for _, r := range c.baro.Results {
		c.n.w.Done[r.Code]++
	}
	c.baro.Results = nil
	fresh := c.baro.Fresh
	c.baro.Fresh = nil
	for _, x := range fresh {
		c.spread(now, bulletin.Item{Key: x.Key, Num: x.Num, Data: x.Data}, out)
	}
}

func (c *core) spread(now units.Time, it bulletin.Item, out *station.Out) {
	var to []units.Node
	for _, m := range c.n.mast.All() {
		if m.State <= mast.Suspect && m.Node != c.n.self {
			to = append(to, m.Node)
		}
	}
	out.Join(c.n.bull.Spread(now, it, to))
}

// change writes the configuration anew, as an operator's confirmed plan does.
func (c *core) change(data []byte) {
	c.tag++
	a := barograph.Ask{Tag: c.tag, Key: "config", Write: true, Expect: barograph.Any, Plan: units.Hex(c.n.w.rng.Uint64()), Data: data}
	c.n.timed(station.Barograph, func() station.Out {
		out := c.baro.Ask(c.n.w.Now, a)
		c.drain(c.n.w.Now, &out)
		return out
	})
}
