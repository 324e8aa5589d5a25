package simulator

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"seamshunt/internal/cluster/message"
)

func (s *Sim) out(h *Host, o message.Effects) {
	// The order of a step's notes may hang on a map; the world's must not.
	slices.SortStableFunc(o.Messages, func(a, b message.Message) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Kind, b.Kind), bytes.Compare(a.Body, b.Body))
	})
	for _, n := range o.Messages {
		s.send(h, n)
	}
	if h.Disk == nil {
		for _, n := range o.AfterSync {
			s.send(h, n)
		}
	} else if len(o.Writes)+len(o.AfterSync) > 0 {
		h.Disk.queue(s, h, o)
	}
}

func (s *Sim) find(n message.Message) *Host {
	for _, h := range s.Hosts {
		if n.Addr != "" && h.Addr == n.Addr || n.Addr == "" && h.Proc != nil && h.Proc.Self == n.To {
			return h
		}
	}
	return nil
}

func (s *Sim) delay(a, b *Host) time.Duration {
	if a == b {
		return 20 * time.Microsecond
	}
	d := 200*time.Microsecond + time.Duration(s.Rng.Int64N(int64(time.Millisecond)))
	if a.Zone != b.Zone {
		d += 3 * time.Millisecond
	}
	if s.Rng.IntN(100) == 0 {
		d += time.Duration(s.Rng.Int64N(int64(60 * time.Millisecond)))
	}
	return d
}

func (s *Sim) send(h *Host, n message.Message) {
	if h.Proc == nil {
		return
	}
	n.From = h.Proc.Self
	s.Sent++
	f := fnv.New64a()
	f.Write(n.Body)
	s.Trace = s.Trace*1099511628211 + f.Sum64() + uint64(n.Kind) + uint64(s.Now)
	to := s.find(n)
	if to != nil && to.Zone != h.Zone {
		s.InterZoneBytes[n.Kind&^15] += 24 + len(n.Body)
	}
	if to == nil || to != h && (h.Isolated || to.Isolated || s.Partitioned(h, to) || s.LossRate > 0 && s.Rng.Float64() < s.LossRate) {
		return
	}
	life := to.life
	s.After(s.delay(h, to), func() {
		switch {
		case to.Proc == nil && to.life == life || to.Proc != nil && n.To != 0 && n.To != to.Proc.Self:
			return
		case to.life != life:
			return // the wire broke when the process ended
		case to.Paused:
			to.held = append(to.held, n)
		default:
			s.out(to, to.Proc.Step(s.Now, n))
		}
	})
}

// RefuseConnections tells everyone that still sends to a killed process's address that nobody listens there.
func (s *Sim) RefuseConnections(dead *Host) {
	for _, h := range s.Hosts {
		if h != dead && h.Proc != nil && !h.Isolated && !dead.Isolated && !s.Partitioned(h, dead) && h.Proc.OnConnectionRefused != nil {
			s.After(50*time.Millisecond+s.delay(h, dead), func() {
				if h.Proc != nil && !h.Paused && dead.Proc == nil {
					h.Proc.OnConnectionRefused(s.Now, dead.Addr)
				}
			})
		}
	}
}
