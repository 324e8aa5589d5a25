package config

import (
	"slices"

	"github.com/valyala/fastjson"

	"seamshunt/internal/resultcode"
)

func (c *Config) parseService(v *fastjson.Value, path string, faults *faultList) {
	if checkObject(v, path, faults, "name", "pool", "cap", "slots", "waitlist", "warm_ms", "warm_rate", "allow", "place",
		"prefix_bytes",
		"spread", "adapt", "floor", "wait_aim_ms", "retry_after_ms", "jitter_ms", "first_ms", "memory", "share", "reads",
		"pairs_us", "conns", "lax") == nil {
		return
	}
	s := &Service{Name: getString(v, path, "name", "", faults), Pool: getString(v, path, "pool", "", faults)}
	s.parseCapacity(v, path, faults)
	s.WarmUp = millis(getInt(v, path, "warm_ms", 5000, 0, 600000, resultcode.InvalidConfig, faults))
	s.WarmUpRate = getFloat(v, path, "warm_rate", 100000, faults)
	s.AdmissionPolicy = getString(v, path, "allow", "knee", faults)
	s.PlacementPolicy = getString(v, path, "place", "prefix", faults)
	s.PrefixBytes = getInt(v, path, "prefix_bytes", 1024, 16, 1<<20, resultcode.InvalidConfig, faults)
	s.PreferredCount = getInt(v, path, "spread", 4, 1, 1000, resultcode.InvalidConfig, faults)
	s.Adaptive = getBool(v, path, "adapt", faults)
	s.MinCapacity = getInt(v, path, "floor", max(1, s.Capacity/2), 1, 10000, resultcode.InvalidCap, faults)
	s.TargetWait = millis(getInt(v, path, "wait_aim_ms", 100, 1, 60000, resultcode.InvalidConfig, faults))
	s.RetryAfter = millis(getInt(v, path, "retry_after_ms", 500, 1, 600000, resultcode.InvalidConfig, faults))
	s.RetryJitter = millis(getInt(v, path, "jitter_ms", 1000, 0, 600000, resultcode.InvalidConfig, faults))
	s.FirstTokenTime = millis(getInt(v, path, "first_ms", 160, 1, 600000, resultcode.InvalidConfig, faults))
	s.MaxConns = getInt(v, path, "conns", 0, 0, 100000, resultcode.InvalidConfig, faults)
	s.QuickTakeover = getBool(v, path, "lax", faults)
	s.parseEngine(v, path, faults)
	if s.MinCapacity > s.Capacity && s.Capacity > 0 {
		faults.add(resultcode.InvalidCap, path+".floor", "the floor is above the cap")
	}
	if !slices.Contains(admissionPolicies(), s.AdmissionPolicy) {
		faults.add(resultcode.InvalidConfig, path+".allow", "unknown policy "+s.AdmissionPolicy)
	}
	if !slices.Contains(placementPolicies(), s.PlacementPolicy) {
		faults.add(resultcode.InvalidConfig, path+".place", "unknown policy "+s.PlacementPolicy)
	}
	if c.Services[s.Name] != nil {
		faults.add(resultcode.Duplicate, path+".name", "service "+s.Name+" given twice")
	}
	for _, other := range c.Services {
		if other.Pool == s.Pool {
			faults.add(resultcode.Duplicate, path+".pool", "pool "+s.Pool+" already serves "+other.Name)
		}
	}
	c.Services[s.Name] = s
}

// parseCapacity parses the capacity: one number for all workers, or with slots the number that the worker list gives for each.
func (s *Service) parseCapacity(v *fastjson.Value, path string, faults *faultList) {
	if !getBool(v, path, "slots", faults) {
		s.Capacity = getInt(v, path, "cap", 0, 1, 10000, resultcode.InvalidCap, faults)
		s.MaxWaiting = getInt(v, path, "waitlist", max(1, 2*s.Capacity), 1, 100000, resultcode.InvalidCap, faults)
		return
	}
	if getInt(v, path, "cap", 0, 0, 10000, resultcode.InvalidCap, faults) > 0 {
		faults.add(resultcode.InvalidCap, path+".cap", "the cap is given, and slots says that the worker list tells it")
	}
	if v.Exists("waitlist") {
		s.MaxWaiting = getInt(v, path, "waitlist", 1, 1, 100000, resultcode.InvalidCap, faults)
	}
}

// parseEngine parses the memory size and the prefill speed of an inference engine (docs/design.md, section 12).
func (s *Service) parseEngine(v *fastjson.Value, path string, faults *faultList) {
	s.MemoryTokens = getInt(v, path, "memory", 0, 0, 1<<30, resultcode.InvalidConfig, faults)
	if s.MemoryTokens == 0 {
		for _, n := range []string{"share", "reads", "pairs_us"} {
			if v.Exists(n) {
				faults.add(resultcode.InvalidConfig, path+"."+n, "it says nothing without memory")
			}
		}
		return
	}
	defaults := Service{MemoryTokens: s.MemoryTokens}
	SetDefaults(&defaults)
	s.MemoryShare = float64(getInt(v, path, "share", 85, 1, 100, resultcode.InvalidConfig, faults)) / 100
	s.PrefillRate, s.AttentionCost = defaults.PrefillRate, defaults.AttentionCost
	if v.Exists("reads") {
		s.PrefillRate = float64(getInt(v, path, "reads", 1, 1, 1000000, resultcode.InvalidConfig, faults))
	}
	if v.Exists("pairs_us") {
		s.AttentionCost = float64(getInt(v, path, "pairs_us", 0, 0, 1000000, resultcode.InvalidConfig, faults)) / 1000
	}
}

func (c *Config) parsePromise(v *fastjson.Value, path string, faults *faultList) {
	if checkObject(v, path, faults, "name", "first_ms", "deadline_ms", "smaller", "worth") == nil {
		return
	}
	p := &Promise{Name: getString(v, path, "name", "", faults)}
	p.MaxFirstTokenTime = millis(getInt(v, path, "first_ms", 0, 1, 600000, resultcode.InvalidConfig, faults))
	p.Deadline = millis(getInt(v, path, "deadline_ms", 0, 1, 600000, resultcode.InvalidConfig, faults))
	p.AllowSmaller = getBool(v, path, "smaller", faults)
	p.Worth = getInt(v, path, "worth", 1, 0, 1000, resultcode.InvalidConfig, faults)
	if p.MaxFirstTokenTime > p.Deadline {
		faults.add(resultcode.InvalidConfig, path+".first_ms", "first words are promised later than the longest wait")
	}
	if c.Promises[p.Name] != nil {
		faults.add(resultcode.Duplicate, path+".name", "promise "+p.Name+" given twice")
	}
	c.Promises[p.Name] = p
}

// parseVersion parses the document's version, if it has one.
func (c *Config) parseVersion(v *fastjson.Value, faults *faultList) {
	x := v.Get("version")
	if x == nil {
		return
	}
	n, err := x.Uint64()
	if err != nil || n == 0 || n >= 1<<62 {
		faults.add(resultcode.InvalidConfig, "$.version", "a whole number above 0 and below 2^62 is wanted")
		return
	}
	c.Version = n
}

func (c *Config) parseLimits(v *fastjson.Value, path string, faults *faultList) {
	if v == nil || checkObject(v, path, faults, "head_bytes", "body_bytes", "head_ms", "idle_ms") == nil {
		return
	}
	limit := func(name string, maxValue int) int {
		if !v.Exists(name) {
			return 0
		}
		return getInt(v, path, name, 1, 1, maxValue, resultcode.InvalidConfig, faults)
	}
	c.Limits = Limits{HeaderBytes: limit("head_bytes", 1<<20), BodyBytes: limit("body_bytes", 1<<30),
		HeaderTimeout: millis(limit("head_ms", 600000)), IdleTimeout: millis(limit("idle_ms", 3600000))}
}
