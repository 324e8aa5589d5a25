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

// Traffic sends requests at a given rate, evenly from all zones, to routers whose health check succeeds.
type Traffic struct {
	fleet *Fleet
	mix   *standin.RequestGenerator
	rng   *rand.Rand
	rate  atomic.Uint64 // requests per thousand seconds
	zones []string
	mu    sync.Mutex
	ready map[string][]string
	wg    sync.WaitGroup
	Sent  int
}

// NewTraffic prepares traffic; the same seed gives the same requests.
func NewTraffic(f *Fleet, seed uint64, topics int) *Traffic {
	t := &Traffic{fleet: f, mix: standin.NewRequestGenerator(seed, topics), rng: rand.New(rand.NewPCG(seed, 9)), ready: map[string][]string{}}
	for _, m := range f.Deployment.Machines {
		if !slices.Contains(t.zones, m.Zone) {
			t.zones = append(t.zones, m.Zone)
		}
	}
	return t
}

// SetRate sets the number of requests per second.
func (t *Traffic) SetRate(perSec float64) { t.rate.Store(uint64(perSec * 1000)) }

// Run sends requests until the context ends, then waits for those in flight.
func (t *Traffic) Run(ctx context.Context) {
	t.ready = t.fleet.ReadyRouters()
	polling := make(chan struct{})
	t.fleet.Tasks.Go(func() {
		defer close(polling)
		for ctx.Err() == nil {
			r := t.fleet.ReadyRouters()
			t.mu.Lock()
			t.ready = r
			t.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
	})
	for ctx.Err() == nil {
		a := t.mix.Next()
		gap := t.mix.NextDelay(float64(t.rate.Load()) / 1000)
		zone := t.zones[t.rng.IntN(len(t.zones))]
		key := ""
		if a.AtMostOnce {
			key = a.Job
		}
		t.Sent++
		t.wg.Add(1)
		t.fleet.Tasks.Go(func() {
			defer t.wg.Done()
			t.fleet.Journal.Write(standin.Send(context.WithoutCancel(ctx), t.pickRouter(zone), a, key))
		})
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
	}
	t.wg.Wait()
	<-polling
}

// pickRouter returns a ready router of the zone, or else any ready router.
func (t *Traffic) pickRouter(zone string) string {
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
