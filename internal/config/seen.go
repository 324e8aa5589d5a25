package config

import (
	"fmt"
	"time"
)

// Seen is how a mapping's promise was kept, over all nodes that answered (design 9).
type Seen struct {
	Promise   string
	Service   string
	Asked     int
	Kept      int // first words within the promise
	Missed    int
	OnTime    int
	Refused   int
	Again     int // further tries
	Ended     int
	PerSecond float64
	Waited    time.Duration // until a refusal, mean
	Held      time.Duration // a slot, by one prompt, mean
	First95   time.Duration // the latest of the nodes' 95ths
}

// Add takes another node's figures in; means are weighed by their counts.
func (s *Seen) Add(o Seen) {
	mean := func(a time.Duration, n int, b time.Duration, m int) time.Duration {
		return (a*time.Duration(n) + b*time.Duration(m)) / time.Duration(max(1, n+m))
	}
	s.Waited = mean(s.Waited, s.Refused, o.Waited, o.Refused)
	s.Held = mean(s.Held, s.Ended, o.Held, o.Ended)
	s.Promise, s.Service = o.Promise, o.Service
	s.Asked, s.Kept, s.Missed, s.OnTime = s.Asked+o.Asked, s.Kept+o.Kept, s.Missed+o.Missed, s.OnTime+o.OnTime
	s.Refused, s.Again, s.Ended = s.Refused+o.Refused, s.Again+o.Again, s.Ended+o.Ended
	s.PerSecond += o.PerSecond
	s.First95 = max(s.First95, o.First95)
}

// Share is a part of a whole in percent; of nothing, all is kept.
func Share(n, all int) float64 {
	if all == 0 {
		return 100
	}
	return 100 * float64(n) / float64(all)
}

// Foresee says what a configuration does to each promise, from what was measured, and warns of what the ceilings
// can't carry. Workers counts those that a pool would have.
func (p *Plan) Foresee(old, next *Config, workers func(pool string) int, seen map[string]Seen) {
	if old == nil {
		old = &Config{}
	}
	was := byName(old)
	load := map[string]float64{}
	for _, m := range next.Mappings {
		s, ok := seen[m.Name]
		if !ok || s.Asked == 0 {
			continue
		}
		line := fmt.Sprintf("mapping %s, promise %s: first words in %v and the whole in %v promised; measured: %.1f%% of first words kept, 95 of 100 within %v, %.1f%% on time",
			m.Name, m.Promise.Name, m.Promise.First, m.Promise.Longest, Share(s.Kept, s.Kept+s.Missed), s.First95, Share(s.OnTime, s.Asked))
		if o := was[m.Name]; o != nil && (o.Promise.First != m.Promise.First || o.Promise.Longest != m.Promise.Longest || o.Promise.Worth != m.Promise.Worth) {
			line += fmt.Sprintf("; now promised: %v, %v", o.Promise.First, o.Promise.Longest)
		}
		p.Promises = append(p.Promises, line)
		if s.First95 > m.Promise.First {
			p.Warnings = append(p.Warnings, fmt.Sprintf("mapping %s: first words are promised in %v, and 5 of 100 took over %v", m.Name, m.Promise.First, s.First95))
		}
		m.spread(load, s.PerSecond*s.Held.Seconds())
	}
	p.carry(next, workers, load)
}

// spread adds what a mapping fills to its services, by their shares.
func (m *Mapping) spread(load map[string]float64, filled float64) {
	if len(m.Split) == 0 {
		load[m.To[0]] += filled
		return
	}
	sum := 0
	for _, t := range m.Split {
		sum += t.Share
	}
	for _, t := range m.Split {
		load[t.Service] += filled * float64(t.Share) / float64(max(1, sum))
	}
}

func (p *Plan) carry(next *Config, workers func(pool string) int, load map[string]float64) {
	for _, n := range sorted(load) {
		s := next.Services[n]
		slots := workers(s.Pool) * s.Cap
		if s.Cap == 0 {
			continue // the worker list tells
		}
		if load[n] > float64(slots) {
			p.Warnings = append(p.Warnings, fmt.Sprintf("service %s: what came in the last minute fills %.1f slots, and there would be %d: its promises can't be kept", n, load[n], slots))
		}
	}
}
