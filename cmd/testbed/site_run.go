package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"seamshunt/internal/localfleet"
	"seamshunt/internal/netfault"
	"seamshunt/platform"
	"seamshunt/platform/standin"
)

// play is a site that runs.
type play struct {
	*site
	f      *localfleet.Fleet
	began  time.Time
	place  standin.Site
	list   *standin.List
	op     *standin.Operator
	lns    []net.Listener
	work   map[string]*standin.Worker
	docMu  sync.Mutex
	doc    standin.Doc // as it was acknowledged last
	mu     sync.Mutex
	ready  map[string][]string      // fronts by zone
	missed map[string]int           // how often each machine has not been ready, one look behind the other
	slowed map[string]chan struct{} // what ends each slow process's slowness
}

func (p *play) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		p.lns = append(p.lns, ln)
	}
	return ln, err
}

// workerListener gives one that can fall silent where the plan has the worker do so: its queue is short, so that a crowd of
// new connections may have to come again.
func (p *play) workerListener(worker string) (net.Listener, error) {
	silenced := slices.ContainsFunc(p.plan, func(e localfleet.Event) bool { return e.Verb == "silence" && e.Target == worker })
	if !silenced {
		return p.listen()
	}
	l, err := netfault.Listen()
	if err == nil {
		p.lns = append(p.lns, l)
	}
	return l, err
}

func (p *play) close() {
	if p.op != nil {
		p.op.Close()
	}
	for _, ln := range p.lns {
		ln.Close()
	}
}

// up starts the stand-ins and every process, and waits until nodes are ready.
func (p *play) up(ctx context.Context) error {
	j := p.f.Journal
	p.list = &standin.List{Rate: 44, Lag: 800 * time.Millisecond, Page: 50, Sink: j}
	ln, err := p.listen()
	if err != nil {
		return err
	}
	p.f.Tasks.Go(func() { _ = p.list.Serve(ln) })
	p.place = standin.Site{Machines: p.nodes, List: ln.Addr().String(), Rate: 44, LagMs: 800, GraceS: 8}
	p.work = map[string]*standin.Worker{}
	for i := range p.workers {
		wl, err := p.workerListener(fmt.Sprint("w", i+1))
		if err != nil {
			return err
		}
		w := &standin.Worker{Listener: wl, Instance: standin.Instance{ID: fmt.Sprint("w", i+1), Service: "llm", Addr: wl.Addr().String(), Zone: fmt.Sprintf("z%d", i%p.zones+1), Slots: 8},
			MaxQueued: 4, ProcessingTime: 30 * time.Millisecond, StreamShape: streams, BodyBytes: 800, Sink: j, Tasks: p.f.Tasks}
		p.work[w.ID] = w
		p.f.Tasks.Go(func() { _ = w.Serve(wl) })
		p.list.Set(w.Instance)
	}
	var control []string
	for _, m := range p.place.Machines {
		for _, program := range []string{"controller", "router"} {
			if program == "controller" && !m.Disk {
				continue
			}
			path, err := p.place.Settings(p.f.Dir, m, program, true)
			if err != nil {
				return err
			}
			p.f.AddProcess(m.Name+"."+program, m.Zone, program, m.Front(), []string{"serve"}, []string{platform.SettingsEnv + "=" + path})
			if err := p.f.Start(m.Name + "." + program); err != nil {
				return err
			}
		}
		if m.Disk {
			control = append(control, m.Control())
		}
	}
	p.op = &standin.Operator{ControlAddrs: func() []string { return control }, Sink: j, Tasks: p.f.Tasks,
		ConnModes: []standin.ConnMode{standin.ClosePerCall, standin.AbandonOnTimeout, standin.ReuseConn}}
	p.doc = standin.Doc{Generation: 1, Targets: []standin.Service{{Name: "llm", Probe: "/health", Conns: 200, Protocol: "h1"}}, Limits: &standin.Bounds{Head: 16384, Body: 1 << 20, HeadMs: 3000, IdleMs: 15000}}
	if p.doc.Routes = routes; p.reviews > 0 {
		p.doc.Routes = append(slices.Clone(routes), review)
	}
	if status, err := p.op.Put(0, p.doc); status != 200 {
		return fmt.Errorf("site: the first configuration: %d %v", status, err)
	}
	p.op.RecordAcknowledged(p.doc.Generation, standin.JSON(p.doc))
	for end := time.Now().Add(20 * time.Second); ; {
		p.look()
		n := 0
		for _, l := range p.ready {
			n += len(l)
		}
		if n == len(p.place.Machines) {
			break
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("site: %d of %d nodes are ready after 20 s; their logs are in %s", n, len(p.place.Machines), p.f.Dir)
		}
		p.f.Tasks.Sleep(50 * time.Millisecond)
	}
	for _, m := range p.place.Machines { // the very first start is over
		for _, program := range []string{"controller", "router"} {
			if _, err := p.place.Settings(p.f.Dir, m, program, false); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d nodes ready %.1f s after the start; control at %s, readiness, status and metrics at %s; files in %s\n", len(p.place.Machines),
		time.Since(p.began).Seconds(), control[0], p.place.Machines[0].Ready(), p.f.Dir)
	return nil
}

// fronts are the ready nodes of a zone in any order, behind them those of others; if there are none, all.
func (p *play) fronts(zone string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := slices.Clone(p.ready[zone])
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for z, x := range p.ready {
		if z != zone {
			l = append(l, x...)
		}
	}
	if len(l) == 0 {
		for _, x := range p.place.Machines {
			l = append(l, x.Front())
		}
	}
	return l
}

// day sends the traffic, carries the events out, and reads the configuration back.
func (p *play) day(ctx context.Context) error {
	start := time.Now()
	tctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := make(chan struct{})
	p.f.Tasks.Go(func() {
		defer close(sent)
		p.traffic(tctx)
	})
	p.f.Tasks.Go(func() {
		for tctx.Err() == nil {
			p.look()
			p.f.Tasks.Sleep(p.lookEvery())
		}
	})
	if err := p.carryOut(ctx, start); err != nil {
		return err
	}
	wait(ctx, start.Add(time.Duration(p.secs)*time.Second))
	cancel()
	<-sent
	status, b, err := p.op.Get()
	var d standin.Doc
	if status != 200 || json.Unmarshal(b, &d) != nil {
		return fmt.Errorf("site: reading the configuration back: %d %v", status, err)
	}
	p.op.RecordRead(d.Generation, standin.JSON(d))
	return nil
}

// traffic sends requests from clients of every kind and zone till the context ends.
func (p *play) traffic(ctx context.Context) {
	rng, reviews := rand.New(rand.NewPCG(p.seed, 11)), rand.New(rand.NewPCG(p.seed, 14))
	var clients []*standin.Client
	for i := range 4 * p.zones {
		zone := fmt.Sprintf("z%d", i%p.zones+1)
		clients = append(clients, &standin.Client{RouterAddrs: func() []string { return p.fronts(zone) }, KeepAlive: i%2 == 0, IgnoreRetryAfter: i%7 == 6, Sink: p.f.Journal, Tasks: p.f.Tasks})
	}
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		c, route := clients[rng.IntN(len(clients))], routes[rng.IntN(len(routes))]
		if reviews.Float64() < p.reviews {
			route = review
		}
		a := standin.Request{Route: route, Path: fmt.Sprint("q", n), Body: fmt.Appendf(nil, "question %d", n), TimeLeft: time.Duration(route.DeadlineMs) * time.Millisecond, MaxAttempts: 2, Chunked: n%3 == 0}
		if rng.Float64() < p.leave {
			a.Patience = time.Duration(1 + rng.Int64N(int64(p.patience)))
		}
		wg.Add(1)
		p.f.Tasks.Go(func() {
			defer wg.Done()
			c.Do(context.WithoutCancel(ctx), a)
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.ExpFloat64() / p.rate * float64(time.Second))):
		}
	}
	wg.Wait()
}
