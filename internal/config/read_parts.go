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
	s.Warm = ms(number(v, at, "warm_ms", 5000, 0, 600000, resultcode.InvalidConfig, f))
	s.WarmRate = decimal(v, at, "warm_rate", 100000, f)
	s.Allow = text(v, at, "allow", "knee", f)
	s.Place = text(v, at, "place", "prefix", f)
	s.Prefix = number(v, at, "prefix_bytes", 1024, 16, 1<<20, resultcode.InvalidConfig, f)
	s.Spread = number(v, at, "spread", 4, 1, 1000, resultcode.InvalidConfig, f)
	s.Adapt = flag(v, at, "adapt", f)
	s.Floor = number(v, at, "floor", max(1, s.Cap/2), 1, 10000, resultcode.InvalidCap, f)
	s.WaitAim = ms(number(v, at, "wait_aim_ms", 100, 1, 60000, resultcode.InvalidConfig, f))
	s.RetryAfter = ms(number(v, at, "retry_after_ms", 500, 1, 600000, resultcode.InvalidConfig, f))
	s.Jitter = ms(number(v, at, "jitter_ms", 1000, 0, 600000, resultcode.InvalidConfig, f))
	s.First = ms(number(v, at, "first_ms", 160, 1, 600000, resultcode.InvalidConfig, f))
	s.Conns = number(v, at, "conns", 0, 0, 100000, resultcode.InvalidConfig, f)
	s.Lax = flag(v, at, "lax", f)
	s.readEngine(v, at, f)
	if s.Floor > s.Cap && s.Cap > 0 {
		f.add(resultcode.InvalidCap, at+".floor", "the floor is above the cap")
	}
	if !slices.Contains(allowNames(), s.Allow) {
		f.add(resultcode.InvalidConfig, at+".allow", "unknown policy "+s.Allow)
	}
	if !slices.Contains(placeNames(), s.Place) {
		f.add(resultcode.InvalidConfig, at+".place", "unknown policy "+s.Place)
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
		s.Cap = number(v, at, "cap", 0, 1, 10000, resultcode.InvalidCap, f)
		s.Waitlist = number(v, at, "waitlist", max(1, 2*s.Cap), 1, 100000, resultcode.InvalidCap, f)
		return
	}
	if number(v, at, "cap", 0, 0, 10000, resultcode.InvalidCap, f) > 0 {
		f.add(resultcode.InvalidCap, at+".cap", "the cap is given, and slots says that the worker list tells it")
	}
	if v.Exists("waitlist") {
		s.Waitlist = number(v, at, "waitlist", 1, 1, 100000, resultcode.InvalidCap, f)
	}
}

// readEngine reads what an engine's memory holds and how fast it reads (design 12).
func (s *Service) readEngine(v *fastjson.Value, at string, f *faults) {
	s.Memory = number(v, at, "memory", 0, 0, 1<<30, resultcode.InvalidConfig, f)
	if s.Memory == 0 {
		for _, n := range []string{"share", "reads", "pairs_us"} {
			if v.Exists(n) {
				f.add(resultcode.InvalidConfig, at+"."+n, "it says nothing without memory")
			}
		}
		return
	}
	usual := Service{Memory: s.Memory}
	Defaults(&usual)
	s.Share = float64(number(v, at, "share", 85, 1, 100, resultcode.InvalidConfig, f)) / 100
	s.Reads, s.Pairs = usual.Reads, usual.Pairs
	if v.Exists("reads") {
		s.Reads = float64(number(v, at, "reads", 1, 1, 1000000, resultcode.InvalidConfig, f))
	}
	if v.Exists("pairs_us") {
		s.Pairs = float64(number(v, at, "pairs_us", 0, 0, 1000000, resultcode.InvalidConfig, f)) / 1000
	}
}

func (c *Config) readPromise(v *fastjson.Value, at string, f *faults) {
	if object(v, at, f, "name", "first_ms", "deadline_ms", "smaller", "worth") == nil {
		return
	}
	p := &Promise{Name: text(v, at, "name", "", f)}
	p.First = ms(number(v, at, "first_ms", 0, 1, 600000, resultcode.InvalidConfig, f))
	p.Longest = ms(number(v, at, "deadline_ms", 0, 1, 600000, resultcode.InvalidConfig, f))
	p.Smaller = flag(v, at, "smaller", f)
	p.Worth = number(v, at, "worth", 1, 0, 1000, resultcode.InvalidConfig, f)
	if p.First > p.Longest {
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
	c.Limits = Limits{Head: limit("head_bytes", 1<<20), Body: limit("body_bytes", 1<<30),
		HeadTime: ms(limit("head_ms", 600000)), Idle: ms(limit("idle_ms", 3600000))}
}
