package localfleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"seamshunt/internal/standin"
)

// Traffic sends requests at a rate, from all zones alike, to routers that the platform finds ready.
type Traffic struct {
	f     *Fleet
	mix   *standin.Mix
	rng   *rand.Rand
	rate  atomic.Uint64 // requests a thousand seconds
	zones []string
	mu    sync.Mutex
	ready map[string][]string
	wg    sync.WaitGroup
	Sent  int
}

// NewTraffic prepares traffic; the same seed asks for the same things.
func NewTraffic(f *Fleet, seed uint64, topics int) *Traffic {
	t := &Traffic{f: f, mix: standin.NewMix(seed, topics), rng: rand.New(rand.NewPCG(seed, 9)), ready: map[string][]string{}}
	for _, m := range f.Deployment.Machines {
		if !slices.Contains(t.zones, m.Zone) {
			t.zones = append(t.zones, m.Zone)
		}
	}
	return t
}

// SetRate sets how many requests come in a second.
func (t *Traffic) SetRate(perSec float64) { t.rate.Store(uint64(perSec * 1000)) }

// Run sends until the context ends, then waits for what is under way.
func (t *Traffic) Run(ctx context.Context) {
	t.ready = t.f.ReadyRouters()
	look := make(chan struct{})
	t.f.Tasks.Go(func() {
		defer close(look)
		for ctx.Err() == nil {
			r := t.f.ReadyRouters()
			t.mu.Lock()
			t.ready = r
			t.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
	})
	for ctx.Err() == nil {
		a := t.mix.Next()
		gap := t.mix.Gap(float64(t.rate.Load()) / 1000)
		zone := t.zones[t.rng.IntN(len(t.zones))]
		key := ""
		if a.Once {
			key = a.Job
		}
		t.Sent++
		t.wg.Add(1)
		t.f.Tasks.Go(func() {
			defer t.wg.Done()
			t.f.Journal.Write(standin.Call(context.WithoutCancel(ctx), t.pick(zone), a, key))
		})
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
	}
	t.wg.Wait()
	<-look
}

// pick hands the caller to a ready node of its zone, else to any ready node.
func (t *Traffic) pick(zone string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.ready[zone]
	if len(l) == 0 {
		for _, x := range t.ready {
			l = append(l, x...)
		}
	}
	if len(l) == 0 {
		return "127.0.0.1:1"
	}
	return l[rand.IntN(len(l))]
}
