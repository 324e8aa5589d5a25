package config

import (
	"fmt"
	"time"
)

// PromiseStats is how a mapping's promise was kept, over all nodes that answered (design 9).
type PromiseStats struct {
	Promise          string
	Service          string
	Requests         int
	FirstTokenKept   int // first words within the promise
	FirstTokenMissed int
	OnTime           int
	Refused          int
	Retries          int // further tries
	Finished         int
	RequestRate      float64
	RefusalWait      time.Duration // until a refusal, mean
	SlotTime         time.Duration // a slot, by one prompt, mean
	FirstTokenP95    time.Duration // the latest of the nodes' 95ths
}

// Add takes another node's figures in; means are weighed by their counts.
func (s *PromiseStats) Add(o PromiseStats) {
	mean := func(a time.Duration, n int, b time.Duration, m int) time.Duration {
		return (a*time.Duration(n) + b*time.Duration(m)) / time.Duration(max(1, n+m))
	}
	s.RefusalWait = mean(s.RefusalWait, s.Refused, o.RefusalWait, o.Refused)
	s.SlotTime = mean(s.SlotTime, s.Finished, o.SlotTime, o.Finished)
	s.Promise, s.Service = o.Promise, o.Service
	s.Requests, s.FirstTokenKept, s.FirstTokenMissed, s.OnTime = s.Requests+o.Requests, s.FirstTokenKept+o.FirstTokenKept, s.FirstTokenMissed+o.FirstTokenMissed, s.OnTime+o.OnTime
	s.Refused, s.Retries, s.Finished = s.Refused+o.Refused, s.Retries+o.Retries, s.Finished+o.Finished
	s.RequestRate += o.RequestRate
	s.FirstTokenP95 = max(s.FirstTokenP95, o.FirstTokenP95)
}

// Percent is a part of a whole in percent; of nothing, all is kept.
func Percent(n, all int) float64 {
	if all == 0 {
		return 100
	}
	return 100 * float64(n) / float64(all)
}

// AddForecast says what a configuration does to each promise, from what was measured, and warns of what the ceilings
// can't carry. Workers counts those that a pool would have.
func (p *Plan) AddForecast(old, next *Config, workers func(pool string) int, seen map[string]PromiseStats) {
	if old == nil {
		old = &Config{}
	}
	was := byName(old)
	load := map[string]float64{}
	for _, m := range next.Mappings {
		s, ok := seen[m.Name]
		if !ok || s.Requests == 0 {
			continue
		}
		line := fmt.Sprintf("mapping %s, promise %s: first words in %v and the whole in %v promised; measured: %.1f%% of first words kept, 95 of 100 within %v, %.1f%% on time",
			m.Name, m.Promise.Name, m.Promise.MaxFirstTokenTime, m.Promise.Deadline, Percent(s.FirstTokenKept, s.FirstTokenKept+s.FirstTokenMissed), s.FirstTokenP95, Percent(s.OnTime, s.Requests))
		if o := was[m.Name]; o != nil && (o.Promise.MaxFirstTokenTime != m.Promise.MaxFirstTokenTime || o.Promise.Deadline != m.Promise.Deadline || o.Promise.Worth != m.Promise.Worth) {
			line += fmt.Sprintf("; now promised: %v, %v", o.Promise.MaxFirstTokenTime, o.Promise.Deadline)
		}
		p.Promises = append(p.Promises, line)
		if s.FirstTokenP95 > m.Promise.MaxFirstTokenTime {
			p.Warnings = append(p.Warnings, fmt.Sprintf("mapping %s: first words are promised in %v, and 5 of 100 took over %v", m.Name, m.Promise.MaxFirstTokenTime, s.FirstTokenP95))
		}
		m.spread(load, s.RequestRate*s.SlotTime.Seconds())
	}
	p.carry(next, workers, load)
}

// spread adds what a mapping fills to its services, by their shares.
func (m *Mapping) spread(load map[string]float64, filled float64) {
	if len(m.Split) == 0 {
		load[m.Services[0]] += filled
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
		slots := workers(s.Pool) * s.Capacity
		if s.Capacity == 0 {
			continue // the worker list tells
		}
		if load[n] > float64(slots) {
			p.Warnings = append(p.Warnings, fmt.Sprintf("service %s: what came in the last minute fills %.1f slots, and there would be %d: its promises can't be kept", n, load[n], slots))
		}
	}
}
