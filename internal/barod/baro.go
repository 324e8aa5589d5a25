// Package barod is the control plane: state on disk, operators, the platform, news (design 1, 2, 4, 5, 9).
package barod

import (
	"fmt"
	mrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/ballot"
	"seamshunt/internal/barograph"
	"seamshunt/internal/boot"
	"seamshunt/internal/bulletin"
	"seamshunt/internal/codebook"
	"seamshunt/internal/isobar"
	"seamshunt/internal/mast"
	"seamshunt/internal/nephoscope"
	"seamshunt/internal/screen"
	"seamshunt/internal/station"
	"seamshunt/internal/tower"
	"seamshunt/internal/units"
)

const recSelf uint8 = 1

// Barometer is one process of the control plane.
type Barometer struct {
	*tower.Tower
	baroMu  sync.Mutex
	baro    *barograph.Barograph
	roll    *screen.Roll // claims; under baroMu, as what it says goes through the same queue
	waits   map[uint64]chan barograph.Result
	disk    disk
	dutyMu  sync.Mutex
	duty    *ballot.Ballot
	tag     atomic.Uint64
	plans   sync.Map // plan id to *plan
	leaving atomic.Bool
	web     *fasthttp.Server
	polled  poll
	skyMu   sync.Mutex // last in the lock order but for the disk queue
	sky     *nephoscope.Nephoscope
	doctor  barograph.Doctor
	seeds   barograph.Seeds // where voters are founded from seeds and grow
	grower  barograph.Grower
	born    []string       // the seeds that the disk bears
	audit   chan entry     // to the one writer of the audit record
	missed  atomic.Uint64  // acknowledged changes that the audit record lacks
	iso     *isobar.Isobar // under baroMu
	code    *codebook.Book // the outside world's names and formats; nil for the product's own
	door    fasthttp.RequestHandler
	taken   versions
	kept    kept // the wire to the platform
}

// New opens the disk, and with it learns who it is. The book, if any, is the outside world that it speaks with.
func New(b *boot.Boot, book *codebook.Book) (*Barometer, error) {
	a, self, blank, err := openDisk(b)
	if err != nil {
		return nil, err
	}
	c := &Barometer{Tower: tower.New(b, self, mast.Barometer), waits: map[uint64]chan barograph.Result{}, doctor: barograph.Doctor{Founders: b.Founders}, sky: nephoscope.New(), code: book}
	c.audit = make(chan entry, 256)
	c.disk.file = a
	c.disk.wake = make(chan struct{}, 1)
	c.baro = barograph.New(self, tower.Random())
	if err := c.baro.Load(a.Live()); err != nil {
		return nil, fmt.Errorf("barometer: %w", err)
	}
	c.seeds, c.born = founding(b, a.Live()), born(a.Live())
	c.Flag(mast.Counts, b.Counts || !b.Grow)
	c.Flag(mast.First, b.Grow && c.seeds.First)
	if book != nil && book.Control != nil {
		c.door = book.Control(c.Control())
	}
	c.roll = screen.LoadRoll(self, c.Crew.Now(), a.Live())
	if blank {
		c.Log.Warn("a blank disk: this node has no vote yet")
	}
	c.tag.Store(uint64(tower.Random()) >> 2)
	c.duty = ballot.New(self, "platform", func() []units.Node { return c.voters().IDs }, c.Crew.Now(), mrand.New(mrand.NewPCG(uint64(tower.Random()), 1)))
	c.iso = isobar.New(self, c.Crew.Now(), mrand.New(mrand.NewPCG(uint64(tower.Random()), 2)))
	c.Later = c.later
	c.Steps[station.Isobar] = func(_ units.Time, n station.Note) {
		c.baroMu.Lock()
		c.Deliver(c.iso.Step(n, c.baro.Slots(), c.baro.Mend))
		c.baroMu.Unlock()
	}
	c.Woke = func(now units.Time) {
		c.dutyMu.Lock()
		c.duty.Drop()
		c.dutyMu.Unlock()
		c.baroMu.Lock()
		c.baro.Woke(now)
		c.baroMu.Unlock()
	}
	c.Refused = func(now units.Time, l []units.Node) {
		c.dutyMu.Lock()
		for _, n := range l {
			c.duty.Gone(now, n)
		}
		c.dutyMu.Unlock()
	}
	c.Steps[station.Barograph] = c.step
	c.Steps[station.Claim] = func(now units.Time, n station.Note) {
		c.baroMu.Lock()
		c.Deliver(c.roll.Step(now, n, c.baro.Ver()))
		c.baroMu.Unlock()
	}
	c.Steps[station.Ballot] = func(now units.Time, n station.Note) {
		c.dutyMu.Lock()
		out := c.duty.Step(now, n)
		c.dutyMu.Unlock()
		c.Deliver(out)
	}
	c.Bull.Stored = func() map[string]units.Num {
		c.baroMu.Lock()
		defer c.baroMu.Unlock()
		return c.baro.Stored()
	}
	return c, nil
}

// Start opens everything and returns.
func (c *Barometer) Start() error {
	ln, err := net.Listen("tcp", c.Boot.Web)
	if err != nil {
		return fmt.Errorf("barometer: %w", err)
	}
	if err := c.Tower.Start(); err != nil {
		ln.Close()
		return err
	}
	c.web = &fasthttp.Server{Handler: c.serve, Name: "barometer", MaxRequestBodySize: 16 << 20, NoDefaultDate: true, Logger: quiet{}}
	c.Crew.Go(func() { _ = c.web.Serve(ln) })
	c.Crew.Go(c.writer)
	c.Crew.Go(c.recorder)
	c.Crew.Every(50*time.Millisecond, c.beat)
	for _, p := range c.Boot.Pools {
		c.Crew.Go(func() { c.poller(p) })
	}
	return nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (c *Barometer) voters() barograph.Voters {
	c.baroMu.Lock()
	defer c.baroMu.Unlock()
	return c.baro.Voters()
}

// step runs under the lock until its output is queued, so that the disk sees the order that the machine had.
func (c *Barometer) step(now units.Time, n station.Note) {
	c.baroMu.Lock()
	out := c.baro.Step(now, n)
	news := c.drain()
	c.Deliver(out)
	c.baroMu.Unlock()
	c.spread(now, news)
}

// drain passes results to those who wait and takes what was chosen; baroMu is held.
func (c *Barometer) drain() []barograph.News {
	for _, r := range c.baro.Results {
		if ch := c.waits[r.Tag]; ch != nil {
			delete(c.waits, r.Tag)
			ch <- r
		}
	}
	c.baro.Results = nil
	news := c.baro.Fresh
	c.baro.Fresh = nil
	return news
}

func (c *Barometer) spread(now units.Time, news []barograph.News) {
	if len(news) == 0 {
		return
	}
	var to []units.Node
	for _, m := range c.Members() {
		if m.State <= mast.Suspect && m.Node != c.Self {
			to = append(to, m.Node)
		}
	}
	for _, x := range news {
		c.BullMu.Lock()
		out := c.Bull.Spread(now, bulletin.Item{Key: x.Key, Num: x.Num, Data: x.Data}, to)
		c.BullMu.Unlock()
		c.Deliver(out)
	}
}

// beat compares what is with what should be: owners, voters, founding, the duty.
func (c *Barometer) beat(now units.Time) {
	all := c.Members()
	unfit := c.disk.unfit(now)
	low, full := c.tryRoom(now)
	c.Flag(mast.Full, full)
	c.Flag(mast.Draining, c.leaving.Load())
	look := barograph.LookAt(all)
	c.BullMu.Lock()
	told, fresh := c.Bull.Items[barograph.KeyVoters], c.Bull.Fresh
	c.Bull.Fresh = nil
	c.BullMu.Unlock()
	c.look(now, fresh)
	c.baroMu.Lock()
	unfit = unfit || !c.baro.Reaches(now)
	if told != nil {
		c.Deliver(c.baro.Learn(told.Data))
	}
	c.baro.View(look.Fit)
	c.voting(now, look)
	out := c.baro.Tick(now)
	c.roll.Low = low
	out.Join(c.roll.Tick(now, c.baro.Voters()))
	out.Join(c.iso.Tick(now, c.baro.Voters().IDs, c.baro.Slots()))
	voter := c.baro.Voters().Has(c.Self)
	news := c.drain()
	c.Deliver(out)
	c.baroMu.Unlock()
	c.Flag(mast.Voter, voter)
	c.Flag(mast.Unfit, unfit)
	c.spread(now, news)
	c.dutyMu.Lock()
	d := c.duty.Tick(now, voter && !c.leaving.Load())
	c.dutyMu.Unlock()
	c.Deliver(d)
}
