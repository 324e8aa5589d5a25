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

// siteRun is a running site.
type siteRun struct {
	*site
	fleet          *localfleet.Fleet
	startedAt      time.Time
	deployment     standin.Site
	workerList     *standin.List
	operator       *standin.Operator
	listeners      []net.Listener
	standinWorkers map[string]*standin.Worker
	documentMu     sync.Mutex
	document       standin.Doc // the last acknowledged configuration
	mu             sync.Mutex
	ready          map[string][]string      // client addresses of ready routers by zone
	missedProbes   map[string]int           // consecutive failed readiness probes of each machine
	stopSlow       map[string]chan struct{} // closed to end the slow phase of a process
}

func (p *siteRun) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		p.listeners = append(p.listeners, ln)
	}
	return ln, err
}

// workerListener returns a listener that can stop answering if the schedule needs that for this worker. Its accept queue is
// short, so that in a surge new connections may have to be retried.
func (p *siteRun) workerListener(worker string) (net.Listener, error) {
	silenced := slices.ContainsFunc(p.schedule, func(e localfleet.Event) bool { return e.Verb == "silence" && e.Target == worker })
	if !silenced {
		return p.listen()
	}
	l, err := netfault.Listen()
	if err == nil {
		p.listeners = append(p.listeners, l)
	}
	return l, err
}

func (p *siteRun) close() {
	if p.operator != nil {
		p.operator.Close()
	}
	for _, ln := range p.listeners {
		ln.Close()
	}
}

// start starts the test doubles and every process, and waits until all nodes are ready.
func (p *siteRun) start(ctx context.Context) error {
	j := p.fleet.Journal
	p.workerList = &standin.List{Rate: 44, Lag: 800 * time.Millisecond, Page: 50, Sink: j}
	ln, err := p.listen()
	if err != nil {
		return err
	}
	p.fleet.Tasks.Go(func() { _ = p.workerList.Serve(ln) })
	p.deployment = standin.Site{Machines: p.nodes, List: ln.Addr().String(), Rate: 44, LagMs: 800, GraceS: 8}
	p.standinWorkers = map[string]*standin.Worker{}
	for i := range p.workers {
		wl, err := p.workerListener(fmt.Sprint("w", i+1))
		if err != nil {
			return err
		}
		w := &standin.Worker{Listener: wl, Instance: standin.Instance{ID: fmt.Sprint("w", i+1), Service: "llm", Addr: wl.Addr().String(), Zone: fmt.Sprintf("z%d", i%p.zones+1), Slots: 8},
			MaxQueued: 4, ProcessingTime: 30 * time.Millisecond, StreamShape: streamShape, BodyBytes: 800, Sink: j, Tasks: p.fleet.Tasks}
		p.standinWorkers[w.ID] = w
		p.fleet.Tasks.Go(func() { _ = w.Serve(wl) })
		p.workerList.Set(w.Instance)
	}
	var control []string
	for _, m := range p.deployment.Machines {
		for _, program := range []string{"controller", "router"} {
			if program == "controller" && !m.Disk {
				continue
			}
			path, err := p.deployment.Settings(p.fleet.Dir, m, program, true)
			if err != nil {
				return err
			}
			p.fleet.AddProcess(m.Name+"."+program, m.Zone, program, m.Front(), []string{"serve"}, []string{platform.SettingsEnv + "=" + path})
			if err := p.fleet.Start(m.Name + "." + program); err != nil {
				return err
			}
		}
		if m.Disk {
			control = append(control, m.Control())
		}
	}
	p.operator = &standin.Operator{ControlAddrs: func() []string { return control }, Sink: j, Tasks: p.fleet.Tasks,
		ConnModes: []standin.ConnMode{standin.ClosePerCall, standin.AbandonOnTimeout, standin.ReuseConn}}
	p.document = standin.Doc{Generation: 1, Targets: []standin.Service{{Name: "llm", Probe: "/health", Conns: 200, Protocol: "h1"}}, Limits: &standin.Bounds{Head: 16384, Body: 1 << 20, HeadMs: 3000, IdleMs: 15000}}
	if p.document.Routes = routes; p.reviewShare > 0 {
		p.document.Routes = append(slices.Clone(routes), review)
	}
	if status, err := p.operator.Put(0, p.document); status != 200 {
		return fmt.Errorf("site: the first configuration: %d %v", status, err)
	}
	p.operator.RecordAcknowledged(p.document.Generation, standin.JSON(p.document))
	for end := time.Now().Add(20 * time.Second); ; {
		p.probeReadiness()
		n := 0
		for _, l := range p.ready {
			n += len(l)
		}
		if n == len(p.deployment.Machines) {
			break
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("site: %d of %d nodes are ready after 20 s; their logs are in %s", n, len(p.deployment.Machines), p.fleet.Dir)
		}
		p.fleet.Tasks.Sleep(50 * time.Millisecond)
	}
	for _, m := range p.deployment.Machines { // settings for later starts: the bootstrap is over
		for _, program := range []string{"controller", "router"} {
			if _, err := p.deployment.Settings(p.fleet.Dir, m, program, false); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d nodes ready %.1f s after the start; control at %s, readiness, status and metrics at %s; files in %s\n", len(p.deployment.Machines),
		time.Since(p.startedAt).Seconds(), control[0], p.deployment.Machines[0].Ready(), p.fleet.Dir)
	return nil
}

// clientAddrs returns the ready routers of a zone in random order, followed by those of other zones, or all routers if none is
// ready.
func (p *siteRun) clientAddrs(zone string) []string {
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
		for _, x := range p.deployment.Machines {
			l = append(l, x.Front())
		}
	}
	return l
}

// execute sends the traffic, carries out the events, and reads the configuration back.
func (p *siteRun) execute(ctx context.Context) error {
	start := time.Now()
	trafficCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := make(chan struct{})
	p.fleet.Tasks.Go(func() {
		defer close(sent)
		p.sendTraffic(trafficCtx)
	})
	p.fleet.Tasks.Go(func() {
		for trafficCtx.Err() == nil {
			p.probeReadiness()
			p.fleet.Tasks.Sleep(p.probeInterval())
		}
	})
	if err := p.runEvents(ctx, start); err != nil {
		return err
	}
	waitUntil(ctx, start.Add(time.Duration(p.seconds)*time.Second))
	cancel()
	<-sent
	status, b, err := p.operator.Get()
	var d standin.Doc
	if status != 200 || json.Unmarshal(b, &d) != nil {
		return fmt.Errorf("site: reading the configuration back: %d %v", status, err)
	}
	p.operator.RecordRead(d.Generation, standin.JSON(d))
	return nil
}

// sendTraffic sends requests from clients of every kind and zone until the context ends.
func (p *siteRun) sendTraffic(ctx context.Context) {
	rng, reviews := rand.New(rand.NewPCG(p.seed, 11)), rand.New(rand.NewPCG(p.seed, 14))
	var clients []*standin.Client
	for i := range 4 * p.zones {
		zone := fmt.Sprintf("z%d", i%p.zones+1)
		clients = append(clients, &standin.Client{RouterAddrs: func() []string { return p.clientAddrs(zone) }, KeepAlive: i%2 == 0, IgnoreRetryAfter: i%7 == 6, Sink: p.fleet.Journal, Tasks: p.fleet.Tasks})
	}
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		c, route := clients[rng.IntN(len(clients))], routes[rng.IntN(len(routes))]
		if reviews.Float64() < p.reviewShare {
			route = review
		}
		a := standin.Request{Route: route, Path: fmt.Sprint("q", n), Body: fmt.Appendf(nil, "question %d", n), TimeLeft: time.Duration(route.DeadlineMs) * time.Millisecond, MaxAttempts: 2, Chunked: n%3 == 0}
		if rng.Float64() < p.abandonShare {
			a.Patience = time.Duration(1 + rng.Int64N(int64(p.patience)))
		}
		wg.Add(1)
		p.fleet.Tasks.Go(func() {
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
