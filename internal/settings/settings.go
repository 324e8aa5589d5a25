// Package settings reads the settings file of a process, its boot file, and reports all faults in it at once (see docs/boot.md).
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

// Settings are the settings of a process: its name, addresses, peers, disk and limits.
type Settings struct {
	Name           string
	Zone           string
	Addr           string   // for messages of the system's own processes
	HTTPAddr       string   // router: HTTP for clients; controller: HTTP for operators
	Seeds          []string // addresses of three other processes, to join through
	DataDir        string   // controller: data directory
	BootstrapDisks int      // controller: how many uninitialized disks the bootstrap needs
	Platform       string   // controller: address of the platform, which lists the workers
	Pools          []string // controller: the pools to request
	PollMs         int      // controller: minimum interval between two requests to the platform
	DrainMs        int      // how long streams may last after SIGTERM
	ReserveBytes   int      // controller: bytes kept free on the disk for a compaction of the log
	ReadyAddr      string   // router: separate address of the readiness endpoint; on HTTPAddr if empty
	Bootstrap      bool     // this is the system's first start, with empty disks
	MayVote        bool     // controller: its disk may become a voter
	GrowVoters     bool     // controller: the seeds bootstrap, then every disk that may vote becomes a voter
	Zones          []string // all zones; empty if unknown

	MaxLostMachines int // how many machines with a voter's disk may be lost at once
	MaxLostZones    int // how many zones may be lost at once

	MemoryMB       int // memory that the process may use; 0 if not set
	MaxDescriptors int // file descriptors that it may use; 0 if not set
	Bounds         Bounds
}

// Bounds are limits and times that the operator's environment requires, such as the retry budget and the grace period.
type Bounds struct {
	RetryRatio   float64 // retries per first attempt, over RetryWindow and all routers
	RetryWindow  time.Duration
	RetrySlack   int           // retries allowed on top of the ratio
	WarmUpFactor float64       // factor by which the rate of a worker that warms up may be exceeded
	WarmUpSlack  int           // and by how many requests, in any one second
	Apply        time.Duration // from the confirmation of a configuration until all nodes use it
	GracePeriod  time.Duration // from SIGTERM to SIGKILL
	Contact      time.Duration // time that a resumed node has to reach the others again
	CatchUp      time.Duration // how long a lost disk still counts as lost after its return
	Drain        time.Duration // after it, a draining worker gets no new requests
}

// DefaultBounds returns the bounds that apply unless others are set.
func DefaultBounds() Bounds {
	return Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, WarmUpFactor: 1, Apply: 2 * time.Second,
		GracePeriod: 20 * time.Second, Contact: 3 * time.Second, CatchUp: 5 * time.Second, Drain: 3 * time.Second}
}

// Faults is an error that lists all faults of a settings file.
type Faults []string

func (f Faults) Error() string { return strings.Join(f, "\n") }

// knownFields are the fields of each program's settings file.
var knownFields = map[string][]string{
	"router": {"name", "zone", "addr", "web", "seeds", "drain_ms"},
	"controller": {"name", "zone", "addr", "web", "seeds", "drain_ms", "data", "founders", "platform", "pools", "poll_ms",
		"reserve_bytes"},
}

// Read reads and checks the settings file of one of the two programs.
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
	var faults Faults
	addFault := func(field, getString string) {
		faults = append(faults, fmt.Sprintf("%d %s: %s: %s", resultcode.InvalidSettings, path, field, getString))
	}
	o.Visit(func(k []byte, _ *fastjson.Value) {
		if !slices.Contains(knownFields[program], string(k)) {
			addFault(string(k), "unknown field")
		}
	})
	getString := func(name string, required bool) string {
		x := v.Get(name)
		if x == nil {
			if required {
				addFault(name, "missing")
			}
			return ""
		}
		s, err := x.StringBytes()
		if err != nil || len(s) == 0 {
			addFault(name, "a text is wanted")
		}
		return string(s)
	}
	getStrings := func(name string) []string {
		var l []string
		for i, x := range v.GetArray(name) {
			s, err := x.StringBytes()
			if err != nil || len(s) == 0 {
				addFault(fmt.Sprintf("%s[%d]", name, i), "a text is wanted")
			}
			l = append(l, string(s))
		}
		return l
	}
	getInt := func(name string, defaultValue, minValue, maxValue int) int {
		x := v.Get(name)
		if x == nil {
			if defaultValue < minValue {
				addFault(name, "missing")
			}
			return defaultValue
		}
		n, err := x.Int()
		if err != nil || n < minValue || n > maxValue {
			addFault(name, fmt.Sprintf("a whole number from %d to %d is wanted", minValue, maxValue))
		}
		return n
	}
	s := &Settings{Bounds: DefaultBounds(), Name: getString("name", true), Zone: getString("zone", true),
		Addr: getString("addr", true), HTTPAddr: getString("web", true), Seeds: getStrings("seeds")}
	checkAddr := func(field, s string) {
		if h, _, err := net.SplitHostPort(s); s != "" && (err != nil || net.ParseIP(h) == nil) {
			addFault(field, "an IP number with a port is wanted, not "+s)
		}
	}
	checkAddr("addr", s.Addr)
	checkAddr("web", s.HTTPAddr)
	if len(s.Seeds) == 0 {
		addFault("seeds", "at least one address is wanted")
	}
	for i, s := range s.Seeds {
		checkAddr(fmt.Sprintf("seeds[%d]", i), s)
	}
	s.DrainMs = getInt("drain_ms", 20000, 0, 600000)
	if program == "controller" {
		s.DataDir = getString("data", true)
		s.Platform = getString("platform", true)
		checkAddr("platform", s.Platform)
		if s.Pools = getStrings("pools"); len(s.Pools) == 0 {
			addFault("pools", "at least one pool is wanted")
		}
		s.BootstrapDisks = getInt("founders", 0, 1, 9)
		s.PollMs = getInt("poll_ms", 500, 50, 60000)
		s.ReserveBytes = getInt("reserve_bytes", 1<<20, 0, 1<<30)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}
