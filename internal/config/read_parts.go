package config

import (
	"slices"

	"github.com/valyala/fastjson"

	"seamshunt/internal/resultcode"
)

func (c *Config) readService(v *fastjson.Value, at string, f *faults) {
	if object(v, at, f, "name", "pool", "cap", "slots", "waitlist", "warm_ms", "warm_rate", "allow", "place", "prefix_bytes",
		"spread", "adapt", "floor", "wait_aim_ms", "retry_after_ms", "jitter_ms", "first_ms", "memory", "share", "reads",
		"pairs_us", "conns", "lax") == nil {
		return
	}
	s := &Service{Name: text(v, at, "name", "", f), Pool: text(v, at, "pool", "", f)}
	s.readCap(v, at, f)
	s.WarmUp = ms(number(v, at, "warm_ms", 5000, 0, 600000, resultcode.InvalidConfig, f))
	s.WarmUpRate = decimal(v, at, "warm_rate", 100000, f)
	s.AdmissionPolicy = text(v, at, "allow", "knee", f)
	s.PlacementPolicy = text(v, at, "place", "prefix", f)
	s.PrefixBytes = number(v, at, "prefix_bytes", 1024, 16, 1<<20, resultcode.InvalidConfig, f)
	s.PreferredCount = number(v, at, "spread", 4, 1, 1000, resultcode.InvalidConfig, f)
	s.Adaptive = flag(v, at, "adapt", f)
	s.MinCapacity = number(v, at, "floor", max(1, s.Capacity/2), 1, 10000, resultcode.InvalidCap, f)
	s.TargetWait = ms(number(v, at, "wait_aim_ms", 100, 1, 60000, resultcode.InvalidConfig, f))
	s.RetryAfter = ms(number(v, at, "retry_after_ms", 500, 1, 600000, resultcode.InvalidConfig, f))
	s.RetryJitter = ms(number(v, at, "jitter_ms", 1000, 0, 600000, resultcode.InvalidConfig, f))
	s.FirstTokenTime = ms(number(v, at, "first_ms", 160, 1, 600000, resultcode.InvalidConfig, f))
	s.MaxConns = number(v, at, "conns", 0, 0, 100000, resultcode.InvalidConfig, f)
	s.QuickTakeover = flag(v, at, "lax", f)
	s.readEngine(v, at, f)
	if s.MinCapacity > s.Capacity && s.Capacity > 0 {
		f.add(resultcode.InvalidCap, at+".floor", "the floor is above the cap")
	}
	if !slices.Contains(allowNames(), s.AdmissionPolicy) {
		f.add(resultcode.InvalidConfig, at+".allow", "unknown policy "+s.AdmissionPolicy)
	}
	if !slices.Contains(placeNames(), s.PlacementPolicy) {
		f.add(resultcode.InvalidConfig, at+".place", "unknown policy "+s.PlacementPolicy)
	}
	if c.Services[s.Name] != nil {
		f.add(resultcode.Duplicate, at+".name", "service "+s.Name+" given twice")
	}
	for _, x := range c.Services {
		if x.Pool == s.Pool {
			f.add(resultcode.Duplicate, at+".pool", "pool "+s.Pool+" already serves "+x.Name)
		}
	}
	c.Services[s.Name] = s
}

// readCap reads the knee: one number for all workers, or with slots what the worker list tells of each.
func (s *Service) readCap(v *fastjson.Value, at string, f *faults) {
	if !flag(v, at, "slots", f) {
		s.Capacity = number(v, at, "cap", 0, 1, 10000, resultcode.InvalidCap, f)
		s.MaxWaiting = number(v, at, "waitlist", max(1, 2*s.Capacity), 1, 100000, resultcode.InvalidCap, f)
		return
	}
	if number(v, at, "cap", 0, 0, 10000, resultcode.InvalidCap, f) > 0 {
		f.add(resultcode.InvalidCap, at+".cap", "the cap is given, and slots says that the worker list tells it")
	}
	if v.Exists("waitlist") {
		s.MaxWaiting = number(v, at, "waitlist", 1, 1, 100000, resultcode.InvalidCap, f)
	}
}

// readEngine reads what an engine's memory holds and how fast it reads (design 12).
func (s *Service) readEngine(v *fastjson.Value, at string, f *faults) {
	s.MemoryTokens = number(v, at, "memory", 0, 0, 1<<30, resultcode.InvalidConfig, f)
	if s.MemoryTokens == 0 {
		for _, n := range []string{"share", "reads", "pairs_us"} {
			if v.Exists(n) {
				f.add(resultcode.InvalidConfig, at+"."+n, "it says nothing without memory")
			}
		}
		return
	}
	usual := Service{MemoryTokens: s.MemoryTokens}
	SetDefaults(&usual)
	s.MemoryShare = float64(number(v, at, "share", 85, 1, 100, resultcode.InvalidConfig, f)) / 100
	s.PrefillRate, s.AttentionCost = usual.PrefillRate, usual.AttentionCost
	if v.Exists("reads") {
		s.PrefillRate = float64(number(v, at, "reads", 1, 1, 1000000, resultcode.InvalidConfig, f))
	}
	if v.Exists("pairs_us") {
		s.AttentionCost = float64(number(v, at, "pairs_us", 0, 0, 1000000, resultcode.InvalidConfig, f)) / 1000
	}
}

func (c *Config) readPromise(v *fastjson.Value, at string, f *faults) {
	if object(v, at, f, "name", "first_ms", "deadline_ms", "smaller", "worth") == nil {
		return
	}
	p := &Promise{Name: text(v, at, "name", "", f)}
	p.MaxFirstTokenTime = ms(number(v, at, "first_ms", 0, 1, 600000, resultcode.InvalidConfig, f))
	p.Deadline = ms(number(v, at, "deadline_ms", 0, 1, 600000, resultcode.InvalidConfig, f))
	p.AllowSmaller = flag(v, at, "smaller", f)
	p.Worth = number(v, at, "worth", 1, 0, 1000, resultcode.InvalidConfig, f)
	if p.MaxFirstTokenTime > p.Deadline {
		f.add(resultcode.InvalidConfig, at+".first_ms", "first words are promised later than the longest wait")
	}
	if c.Promises[p.Name] != nil {
		f.add(resultcode.Duplicate, at+".name", "promise "+p.Name+" given twice")
	}
	c.Promises[p.Name] = p
}

// readVersion reads the document's own version, if it bears one.
func (c *Config) readVersion(v *fastjson.Value, f *faults) {
	x := v.Get("version")
	if x == nil {
		return
	}
	n, err := x.Uint64()
	if err != nil || n == 0 || n >= 1<<62 {
		f.add(resultcode.InvalidConfig, "$.version", "a whole number above 0 and below 2^62 is wanted")
		return
	}
	c.Version = n
}

func (c *Config) readLimits(v *fastjson.Value, at string, f *faults) {
	if v == nil || object(v, at, f, "head_bytes", "body_bytes", "head_ms", "idle_ms") == nil {
		return
	}
	limit := func(name string, most int) int {
		if !v.Exists(name) {
			return 0
		}
		return number(v, at, name, 1, 1, most, resultcode.InvalidConfig, f)
	}
	c.Limits = Limits{HeaderBytes: limit("head_bytes", 1<<20), BodyBytes: limit("body_bytes", 1<<30),
		HeaderTimeout: ms(limit("head_ms", 600000)), IdleTimeout: ms(limit("idle_ms", 3600000))}
}
