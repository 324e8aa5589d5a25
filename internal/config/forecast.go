package config

import (
	"fmt"
	"time"
)

// PromiseStats is how well a mapping's promise was kept, over all routers that answered (docs/design.md, section 9).
type PromiseStats struct {
	Promise          string
	Service          string
	Requests         int
	FirstTokenKept   int // first tokens within the promised time
	FirstTokenMissed int // first tokens after it
	OnTime           int // whole answers within the deadline
	Refused          int
	Retries          int
	Finished         int
	RequestRate      float64
	RefusalWait      time.Duration // mean time until a refusal
	SlotTime         time.Duration // mean time that one request held a slot
	FirstTokenP95    time.Duration // 95th percentile of the time to the first token: the highest of all routers
}

// Add merges the figures of another router; means are weighted by their counts.
func (s *PromiseStats) Add(other PromiseStats) {
	mean := func(a time.Duration, n int, b time.Duration, m int) time.Duration {
		return (a*time.Duration(n) + b*time.Duration(m)) / time.Duration(max(1, n+m))
	}
	s.RefusalWait = mean(s.RefusalWait, s.Refused, other.RefusalWait, other.Refused)
	s.SlotTime = mean(s.SlotTime, s.Finished, other.SlotTime, other.Finished)
	s.Promise, s.Service = other.Promise, other.Service
	s.Requests, s.FirstTokenKept, s.FirstTokenMissed, s.OnTime = s.Requests+other.Requests,
		s.FirstTokenKept+other.FirstTokenKept, s.FirstTokenMissed+other.FirstTokenMissed, s.OnTime+other.OnTime
	s.Refused, s.Retries, s.Finished = s.Refused+other.Refused, s.Retries+other.Retries, s.Finished+other.Finished
	s.RequestRate += other.RequestRate
	s.FirstTokenP95 = max(s.FirstTokenP95, other.FirstTokenP95)
}

// Percent returns part as a percentage of whole, and 100 if whole is 0: without requests every promise counts as kept.
func Percent(part, whole int) float64 {
	if whole == 0 {
		return 100
	}
	return 100 * float64(part) / float64(whole)
}

// AddForecast adds to the plan how each promise was kept under the current load, and warns of promises that weren't kept and
// of services whose slots can't carry that load. The function workers returns how many workers a pool would have.
func (p *Plan) AddForecast(old, next *Config, workers func(pool string) int, stats map[string]PromiseStats) {
	if old == nil {
		old = &Config{}
	}
	oldMappings := mappingsByName(old)
	load := map[string]float64{}
	for _, m := range next.Mappings {
		s, ok := stats[m.Name]
		if !ok || s.Requests == 0 {
			continue
		}
		line := fmt.Sprintf("mapping %s, promise %s: first words in %v and the whole in %v promised; measured: %.1f%% of first words kept, 95 of 100 within %v, %.1f%% on time",
			m.Name, m.Promise.Name, m.Promise.MaxFirstTokenTime, m.Promise.Deadline,
			Percent(s.FirstTokenKept, s.FirstTokenKept+s.FirstTokenMissed), s.FirstTokenP95, Percent(s.OnTime, s.Requests))
		if o := oldMappings[m.Name]; o != nil && (o.Promise.MaxFirstTokenTime != m.Promise.MaxFirstTokenTime ||
			o.Promise.Deadline != m.Promise.Deadline || o.Promise.Worth != m.Promise.Worth) {
			line += fmt.Sprintf("; now promised: %v, %v", o.Promise.MaxFirstTokenTime, o.Promise.Deadline)
		}
		p.Promises = append(p.Promises, line)
		if s.FirstTokenP95 > m.Promise.MaxFirstTokenTime {
			p.Warnings = append(p.Warnings,
				fmt.Sprintf("mapping %s: first words are promised in %v, and 5 of 100 took over %v",
					m.Name, m.Promise.MaxFirstTokenTime, s.FirstTokenP95))
		}
		m.addLoad(load, s.RequestRate*s.SlotTime.Seconds())
	}
	p.checkLoad(next, workers, load)
}

// addLoad distributes the slots that a mapping occupies over its services, by their shares.
func (m *Mapping) addLoad(load map[string]float64, slots float64) {
	if len(m.Split) == 0 {
		load[m.Services[0]] += slots
		return
	}
	sum := 0
	for _, t := range m.Split {
		sum += t.Share
	}
	for _, t := range m.Split {
		load[t.Service] += slots * float64(t.Share) / float64(max(1, sum))
	}
}

// checkLoad warns of services that have fewer slots than the load needs.
func (p *Plan) checkLoad(next *Config, workers func(pool string) int, load map[string]float64) {
	for _, n := range sortedKeys(load) {
		s := next.Services[n]
		slots := workers(s.Pool) * s.Capacity
		if s.Capacity == 0 {
			continue // the slots come from the worker list
		}
		if load[n] > float64(slots) {
			p.Warnings = append(p.Warnings,
				fmt.Sprintf("service %s: what came in the last minute fills %.1f slots, and there would be %d: its promises can't be kept",
					n, load[n], slots))
		}
	}
}
