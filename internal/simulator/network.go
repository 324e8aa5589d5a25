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
	// The order of a step's notes may hang on a map; the world's must not.
	slices.SortStableFunc(effects.Messages, func(a, b message.Message) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Kind, b.Kind), bytes.Compare(a.Body, b.Body))
	})
	for _, n := range effects.Messages {
		s.send(h, n)
	}
	if h.Disk == nil {
		for _, n := range effects.AfterSync {
			s.send(h, n)
		}
	} else if len(effects.Writes)+len(effects.AfterSync) > 0 {
		h.Disk.enqueue(s, h, effects)
	}
}

func (s *Sim) destination(n message.Message) *Host {
	for _, h := range s.Hosts {
		if n.Addr != "" && h.Addr == n.Addr || n.Addr == "" && h.Proc != nil && h.Proc.Self == n.To {
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

func (s *Sim) send(h *Host, n message.Message) {
	if h.Proc == nil {
		return
	}
	n.From = h.Proc.Self
	s.Sent++
	hash := fnv.New64a()
	hash.Write(n.Body)
	s.Trace = s.Trace*1099511628211 + hash.Sum64() + uint64(n.Kind) + uint64(s.Now)
	to := s.destination(n)
	if to != nil && to.Zone != h.Zone {
		s.InterZoneBytes[n.Kind&^15] += 24 + len(n.Body)
	}
	if to == nil || to != h && (h.Isolated || to.Isolated || s.Partitioned(h, to) || s.LossRate > 0 && s.Rng.Float64() < s.LossRate) {
		return
	}
	generation := to.generation
	s.After(s.networkDelay(h, to), func() {
		switch {
		case to.Proc == nil && to.generation == generation || to.Proc != nil && n.To != 0 && n.To != to.Proc.Self:
			return
		case to.generation != generation:
			return // the wire broke when the process ended
		case to.Paused:
			to.heldMessages = append(to.heldMessages, n)
		default:
			s.apply(to, to.Proc.Step(s.Now, n))
		}
	})
}

// RefuseConnections tells everyone that still sends to a killed process's address that nobody listens there.
func (s *Sim) RefuseConnections(dead *Host) {
	for _, h := range s.Hosts {
		if h != dead && h.Proc != nil && !h.Isolated && !dead.Isolated && !s.Partitioned(h, dead) && h.Proc.OnConnectionRefused != nil {
			s.After(50*time.Millisecond+s.networkDelay(h, dead), func() {
				if h.Proc != nil && !h.Paused && dead.Proc == nil {
					h.Proc.OnConnectionRefused(s.Now, dead.Addr)
				}
			})
		}
	}
}
