package localfleet

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"seamshunt/internal/checker"
	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// RunPlan describes one run of a deployment.
type RunPlan struct {
	Seed            uint64
	Rate            float64
	Topics          int
	TrafficDuration time.Duration
	Events          []Event
	TrafficStart    time.Duration // from the start of the fleet until traffic begins
	EditConfig      func([]byte) []byte
}

// Run starts the fleet, applies its configuration, sends traffic from TrafficStart on, carries out the events, and reads
// the configuration back at the end.
func (f *Fleet) Run(ctx context.Context, p RunPlan, out io.Writer) error {
	start := time.Now()
	if err := f.StartAll(); err != nil {
		return err
	}
	config, err := f.Deployment.ConfigBytes()
	if err != nil {
		return err
	}
	if p.EditConfig != nil {
		config = p.EditConfig(config)
	}
	if err := f.ApplyConfig(config); err != nil {
		return err
	}
	fmt.Fprintf(out, "configuration acknowledged %.1f s after the start\n", time.Since(start).Seconds())
	traffic := NewTraffic(f, p.Seed, p.Topics)
	traffic.SetRate(p.Rate)
	f.Platform.HandleEvent = func(s string) error {
		l, err := ParseEvents("0:" + s)
		if err == nil && len(l) == 1 {
			err = f.Execute(l[0], traffic)
		}
		return err
	}
	fmt.Fprintf(out, "controller at %s, harness at %s, journals in %s\n", f.controllers()[0], f.listener.Addr(), f.Dir)
	trafficCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := make(chan struct{})
	f.Tasks.Go(func() {
		defer close(sent)
		if sleepUntil(trafficCtx, start.Add(p.TrafficStart)) == nil {
			f.RecordEvent("traffic", "")
			traffic.Run(trafficCtx)
		}
	})
	end := start.Add(p.TrafficStart + p.TrafficDuration)
	for _, e := range p.Events {
		if err := sleepUntil(ctx, start.Add(e.At)); err != nil {
			break
		}
		fmt.Fprintf(out, "%6.1f s: %s %s %s\n", time.Since(start).Seconds(), e.Verb, e.Target, e.Arg)
		if err := f.Execute(e, traffic); err != nil {
			cancel()
			return fmt.Errorf("event %s %s: %w", e.Verb, e.Target, err)
		}
	}
	_ = sleepUntil(ctx, end)
	cancel()
	<-sent
	b, version, err := f.ReadKey("/v1/config", 15*time.Second)
	if err != nil {
		return err
	}
	f.RecordEvent("config-read", fingerprint(version, b))
	return nil
}

// ApplyConfig sends a configuration and records its acknowledgement.
func (f *Fleet) ApplyConfig(b []byte) error {
	version, err := f.WriteKey("/v1/config", b, 20*time.Second)
	if err == nil {
		f.RecordEvent("config-acknowledged", fingerprint(version, b))
	}
	return err
}

// fingerprint identifies a configuration by its version, length and hash.
func fingerprint(version uint64, b []byte) string {
	return fmt.Sprintf("%d/%d/%x", version, len(b), units.Mix(string(b)))
}

func sleepUntil(ctx context.Context, until time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(until)):
		return nil
	}
}

// Rules derives the limits of the run from the deployment's configuration.
func (f *Fleet) Rules(edit func([]byte) []byte) (checker.Rules, error) {
	u := checker.DefaultRules()
	b, err := f.Deployment.ConfigBytes()
	if err != nil {
		return u, err
	}
	if edit != nil {
		b = edit(b)
	}
	c, faults := config.Parse(b)
	if len(faults) > 0 {
		return u, faults[0]
	}
	for _, m := range c.Mappings {
		u.NonRepeatable[m.Name] = m.Once
		for _, s := range m.Services {
			u.Pools[m.Name] = append(u.Pools[m.Name], c.Services[s].Pool)
		}
	}
	for _, s := range c.Services {
		if s.AdmissionPolicy == "knee" {
			u.MaxInFlight = max(u.MaxInFlight, s.Capacity)
		}
	}
	return u, nil
}

// Report checks the run and prints findings and statistics. It reports whether every invariant held.
func (f *Fleet) Report(u checker.Rules, out io.Writer) (bool, error) {
	r, err := checker.Load(f.Dir)
	if err != nil {
		return false, err
	}
	zone := map[string]string{}
	for n, w := range f.HTTPAddrs("router") {
		p, _ := f.lookup(n)
		zone[w] = p.zone
	}
	return PrintReport(r, u, zone, out), nil
}

// PrintReport prints findings and statistics, and reports whether every invariant held.
func PrintReport(r *checker.Run, u checker.Rules, zone map[string]string, out io.Writer) bool {
	good := true
	for _, x := range r.Check(u) {
		word := "holds"
		if !x.Holds {
			word, good = "BROKEN", false
		}
		fmt.Fprintf(out, "%-7s %s: %s\n", word, x.Invariant, x.Detail)
	}
	from, name := int64(0), "all"
	for _, e := range r.Events {
		if e.How == "rate" {
			printStatistics(r, from, e.At, name, out)
			from, name = e.At, "from rate "+e.Target
		}
	}
	printStatistics(r, from, 1<<62, name, out)
	hit, cross, bytes := r.CacheHits(zone)
	fmt.Fprintf(out, "prefix hit rate %.1f%%; runs handed over to another zone %.1f%%, with %d bytes of prompts\n", 100*hit, 100*cross, bytes)
	return good
}

// printStatistics prints the statistics of an interval of the run.
func printStatistics(r *checker.Run, from, to int64, name string, out io.Writer) {
	fmt.Fprintf(out, "%-16s %7s %8s %8s %7s %6s %10s %10s\n", name, "sent", "on time", "refused", "broken", "other", "first p50", "first p95")
	for _, x := range r.Measure(from, to) {
		fmt.Fprintf(out, "  %-14s %7d %7.1f%% %8d %7d %6d %7.0f ms %7.0f ms\n", x.Mapping, x.Sent, 100*float64(x.OnTime)/float64(max(1, x.Sent)),
			x.Refused, x.Broken, x.Other, x.FirstTokenP50, x.FirstTokenP95)
	}
}

// AbsPath returns a directory's absolute path, or the path as it is if that fails.
func AbsPath(p string) string {
	a, err := filepath.Abs(p)
	if err != nil {
		return p
	}
	return a
}
