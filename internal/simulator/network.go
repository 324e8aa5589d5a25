package simulator

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
)

func (s *Sim) apply(h *Host, effects message.Effects) {
	// Messages of one step may come in map order; a replayable run needs a fixed order.
	slices.SortStableFunc(effects.Messages, func(a, b message.Message) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Kind, b.Kind),
			bytes.Compare(a.Body, b.Body))
	})
	for _, m := range effects.Messages {
		s.send(h, m)
	}
	if h.Disk == nil {
		for _, m := range effects.AfterSync {
			s.send(h, m)
		}
	} else if len(effects.Writes)+len(effects.AfterSync) > 0 {
		h.Disk.enqueue(s, h, effects)
	}
}

func (s *Sim) destination(m message.Message) *Host {
	for _, h := range s.Hosts {
		if m.Addr != "" && h.Addr == m.Addr || m.Addr == "" && h.Proc != nil && h.Proc.Self == m.To {
			return h
		}
	}
	return nil
}

func (s *Sim) networkDelay(a, b *Host) time.Duration {
	if a == b {
		return 20 * time.Microsecond
	}
	delay := 200*time.Microsecond + time.Duration(s.Rng.Int64N(int64(time.Millisecond)))
	if a.Zone != b.Zone {
		delay += 3 * time.Millisecond
	}
	if s.Rng.IntN(100) == 0 {
		delay += time.Duration(s.Rng.Int64N(int64(60 * time.Millisecond)))
	}
	return delay
}

func (s *Sim) send(h *Host, m message.Message) {
	if h.Proc == nil {
		return
	}
	m.From = h.Proc.Self
	s.Sent++
	hash := fnv.New64a()
	hash.Write(m.Body)
	s.Trace = s.Trace*1099511628211 + hash.Sum64() + uint64(m.Kind) + uint64(s.Now)
	to := s.destination(m)
	if to != nil && to.Zone != h.Zone {
		s.InterZoneBytes[m.Kind&^15] += 24 + len(m.Body)
	}
	if to == nil || to != h && (h.Isolated || to.Isolated || s.Partitioned(h, to) ||
		s.LossRate > 0 && s.Rng.Float64() < s.LossRate) {
		return
	}
	generation := to.generation
	s.After(s.networkDelay(h, to), func() {
		switch {
		case to.Proc == nil && to.generation == generation || to.Proc != nil && m.To != 0 && m.To != to.Proc.Self:
			return
		case to.generation != generation:
			return // the connection broke when the process ended
		case to.Paused:
			to.heldMessages = append(to.heldMessages, m)
		default:
			s.apply(to, to.Proc.Step(s.Now, m))
		}
	})
}

// RefuseConnections notifies all reachable processes that connections to a killed process's address are refused.
func (s *Sim) RefuseConnections(dead *Host) {
	for _, h := range s.Hosts {
		if h != dead && h.Proc != nil && !h.Isolated && !dead.Isolated && !s.Partitioned(h, dead) &&
			h.Proc.OnConnectionRefused != nil {
			s.After(50*time.Millisecond+s.networkDelay(h, dead), func() {
				if h.Proc != nil && !h.Paused && dead.Proc == nil {
					h.Proc.OnConnectionRefused(s.Now, dead.Addr)
				}
			})
		}
	}
}
