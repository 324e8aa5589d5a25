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

// RunPlan is one run of a deployment.
type RunPlan struct {
	Seed            uint64
	Rate            float64
	Topics          int
	TrafficDuration time.Duration
	Events          []Event
	TrafficStart    time.Duration // when traffic begins, after the start
	EditConfig      func([]byte) []byte
}

// Run brings the fleet up, applies its configuration, sends traffic from the tenth second on, carries the
// events out, and reads the configuration back at the end.
func (f *Fleet) Run(ctx context.Context, p RunPlan, say io.Writer) error {
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
	fmt.Fprintf(say, "configuration acknowledged %.1f s after the start\n", time.Since(start).Seconds())
	t := NewTraffic(f, p.Seed, p.Topics)
	t.SetRate(p.Rate)
	f.Platform.Control = func(s string) error {
		l, err := ParseEvents("0:" + s)
		if err == nil && len(l) == 1 {
			err = f.Execute(l[0], t)
		}
		return err
	}
	fmt.Fprintf(say, "controller at %s, harness at %s, journals in %s\n", f.controllers()[0], f.ln.Addr(), f.Dir)
	tctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := make(chan struct{})
	f.Tasks.Go(func() {
		defer close(sent)
		if sleep(tctx, start.Add(p.TrafficStart)) == nil {
			f.RecordEvent("traffic", "")
			t.Run(tctx)
		}
	})
	end := start.Add(p.TrafficStart + p.TrafficDuration)
	for _, e := range p.Events {
		if err := sleep(ctx, start.Add(e.At)); err != nil {
			break
		}
		fmt.Fprintf(say, "%6.1f s: %s %s %s\n", time.Since(start).Seconds(), e.Verb, e.Target, e.Arg)
		if err := f.Execute(e, t); err != nil {
			cancel()
			return fmt.Errorf("event %s %s: %w", e.Verb, e.Target, err)
		}
	}
	_ = sleep(ctx, end)
	cancel()
	<-sent
	b, num, err := f.ReadKey("/v1/config", 15*time.Second)
	if err != nil {
		return err
	}
	f.RecordEvent("config-read", mark(num, b))
	return nil
}

// ApplyConfig sends a configuration and notes its acknowledgement.
func (f *Fleet) ApplyConfig(b []byte) error {
	num, err := f.WriteKey("/v1/config", b, 20*time.Second)
	if err == nil {
		f.RecordEvent("config-acknowledged", mark(num, b))
	}
	return err
}

// mark names a configuration by its number and its bytes.
func mark(num uint64, b []byte) string {
	return fmt.Sprintf("%d/%d/%x", num, len(b), units.Mix(string(b)))
}

func sleep(ctx context.Context, until time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(until)):
		return nil
	}
}

// Rules takes what is promised from the deployment's own configuration.
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

// Report judges the run and prints what it measured. It says whether every promise held.
func (f *Fleet) Report(u checker.Rules, say io.Writer) (bool, error) {
	r, err := checker.Load(f.Dir)
	if err != nil {
		return false, err
	}
	zone := map[string]string{}
	for n, w := range f.HTTPAddrs("router") {
		p, _ := f.get(n)
		zone[w] = p.zone
	}
	return PrintReport(r, u, zone, say), nil
}

// PrintReport prints findings and figures.
func PrintReport(r *checker.Run, u checker.Rules, zone map[string]string, say io.Writer) bool {
	good := true
	for _, x := range r.Check(u) {
		word := "holds"
		if !x.Holds {
			word, good = "BROKEN", false
		}
		fmt.Fprintf(say, "%-7s %s: %s\n", word, x.Invariant, x.Detail)
	}
	from, name := int64(0), "all"
	for _, e := range r.Events {
		if e.How == "rate" {
			figures(r, from, e.At, name, say)
			from, name = e.At, "from rate "+e.Target
		}
	}
	figures(r, from, 1<<62, name, say)
	hit, cross, bytes := r.CacheHits(zone)
	fmt.Fprintf(say, "prefix hit rate %.1f%%; runs handed over to another zone %.1f%%, with %d bytes of prompts\n", 100*hit, 100*cross, bytes)
	return good
}

// figures prints what was measured over a span of the run.
func figures(r *checker.Run, from, to int64, name string, say io.Writer) {
	fmt.Fprintf(say, "%-16s %7s %8s %8s %7s %6s %10s %10s\n", name, "sent", "on time", "refused", "broken", "other", "first p50", "first p95")
	for _, x := range r.Measure(from, to) {
		fmt.Fprintf(say, "  %-14s %7d %7.1f%% %8d %7d %6d %7.0f ms %7.0f ms\n", x.Mapping, x.Sent, 100*float64(x.OnTime)/float64(max(1, x.Sent)),
			x.Refused, x.Broken, x.Other, x.FirstTokenP50, x.FirstTokenP95)
	}
}

// AbsPath makes a folder's path whole.
func AbsPath(p string) string {
	a, err := filepath.Abs(p)
	if err != nil {
		return p
	}
	return a
}
