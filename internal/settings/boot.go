// Package settings reads a process's boot file and names all its faults at once (docs/boot.md).
package settings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"seamshunt/internal/resultcode"
)

// Settings is a process's place in the world.
type Settings struct {
	Name           string
	Zone           string
	Addr           string   // for the system's own processes
	HTTPAddr       string   // HTTP for callers, or for operators
	Seeds          []string // three other processes
	DataDir        string   // controller: the one data folder
	BootstrapDisks int      // controller: how many blank disks found the fleet
	Platform       string   // controller: where the platform lists workers
	Pools          []string // controller: the pools to ask for
	PollMs         int      // controller: least gap between two questions to the platform
	DrainMs        int      // how long streams may last after a warning
	ReserveBytes   int      // controller: bytes kept free on the disk for a rewrite
	ReadyAddr      string   // router: an address of its own for the question whether it is ready; on Web if empty
	Bootstrap      bool     // the system's very first start, with empty disks
	MayVote        bool     // controller: its disk counts among those that vote
	GrowVoters     bool     // controller: founded by the seeds, voters grow to every disk that counts
	Zones          []string // all zones there are; empty when nobody said

	MaxLostMachines int // how many machines whose disks count may be lost at once
	MaxLostZones    int // how many zones may be lost at once

	MemoryMB       int // MB that the process may use; 0 when nobody said
	MaxDescriptors int // descriptors that it may use; 0 when nobody said
	Bounds         Bounds
}

// Bounds are what an operator's world allows, in its own time.
type Bounds struct {
	RetryRatio   float64 // further tries against first ones, over RetryWindow and all nodes
	RetryWindow  time.Duration
	RetrySlack   int
	WarmUpFactor float64 // a cold worker's rate may be exceeded by this factor
	WarmUpSlack  int     // and by so many requests, in any one second
	Apply        time.Duration
	GracePeriod  time.Duration // from the warning to the kill
	Contact      time.Duration
	CatchUp      time.Duration // a lost disk counts as lost for so long after its return
	Drain        time.Duration // a leaving worker gets nothing new after it
}

// DefaultBounds are the bounds when nobody said others.
func DefaultBounds() Bounds {
	return Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, WarmUpFactor: 1, Apply: 2 * time.Second, GracePeriod: 20 * time.Second,
		Contact: 3 * time.Second, CatchUp: 5 * time.Second, Drain: 3 * time.Second}
}

// Faults lists everything wrong with a boot file.
type Faults []string

func (f Faults) Error() string { return strings.Join(f, "\n") }

var known = map[string][]string{
	"router":     {"name", "zone", "addr", "web", "seeds", "drain_ms"},
	"controller": {"name", "zone", "addr", "web", "seeds", "drain_ms", "data", "founders", "platform", "pools", "poll_ms", "reserve_bytes"},
}

// Read checks a boot file for one of the two programs.
func Read(path, program string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{fmt.Sprintf("%d %v", resultcode.InvalidSettings, err)}
	}
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, Faults{fmt.Sprintf("%d %s: %v", resultcode.InvalidSettings, path, err)}
	}
	o, err := v.Object()
	if err != nil {
		return nil, Faults{fmt.Sprintf("%d %s: an object is wanted", resultcode.InvalidSettings, path)}
	}
	var f Faults
	bad := func(at, text string) {
		f = append(f, fmt.Sprintf("%d %s: %s: %s", resultcode.InvalidSettings, path, at, text))
	}
	o.Visit(func(k []byte, _ *fastjson.Value) {
		if !slices.Contains(known[program], string(k)) {
			bad(string(k), "unknown field")
		}
	})
	text := func(name string, must bool) string {
		x := v.Get(name)
		if x == nil {
			if must {
				bad(name, "missing")
			}
			return ""
		}
		s, err := x.StringBytes()
		if err != nil || len(s) == 0 {
			bad(name, "a text is wanted")
		}
		return string(s)
	}
	list := func(name string) []string {
		var l []string
		for i, x := range v.GetArray(name) {
			s, err := x.StringBytes()
			if err != nil || len(s) == 0 {
				bad(fmt.Sprintf("%s[%d]", name, i), "a text is wanted")
			}
			l = append(l, string(s))
		}
		return l
	}
	number := func(name string, def, least, most int) int {
		x := v.Get(name)
		if x == nil {
			if def < least {
				bad(name, "missing")
			}
			return def
		}
		n, err := x.Int()
		if err != nil || n < least || n > most {
			bad(name, fmt.Sprintf("a whole number from %d to %d is wanted", least, most))
		}
		return n
	}
	c := &Settings{Bounds: DefaultBounds(), Name: text("name", true), Zone: text("zone", true), Addr: text("addr", true), HTTPAddr: text("web", true), Seeds: list("seeds")}
	addr := func(at, s string) {
		if h, _, err := net.SplitHostPort(s); s != "" && (err != nil || net.ParseIP(h) == nil) {
			bad(at, "an IP number with a port is wanted, not "+s)
		}
	}
	addr("addr", c.Addr)
	addr("web", c.HTTPAddr)
	if len(c.Seeds) == 0 {
		bad("seeds", "at least one address is wanted")
	}
	for i, s := range c.Seeds {
		addr(fmt.Sprintf("seeds[%d]", i), s)
	}
	c.DrainMs = number("drain_ms", 20000, 0, 600000)
	if program == "controller" {
		c.DataDir = text("data", true)
		c.Platform = text("platform", true)
		addr("platform", c.Platform)
		if c.Pools = list("pools"); len(c.Pools) == 0 {
			bad("pools", "at least one pool is wanted")
		}
		c.BootstrapDisks = number("founders", 0, 1, 9)
		c.PollMs = number("poll_ms", 500, 50, 60000)
		c.ReserveBytes = number("reserve_bytes", 1<<20, 0, 1<<30)
	}
	if len(f) > 0 {
		return nil, f
	}
	return c, nil
}
