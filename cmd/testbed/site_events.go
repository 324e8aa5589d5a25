package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"syscall"
	"time"

	"seamshunt/internal/localfleet"
	"seamshunt/platform/standin"
)

// wait waits until a time, or the context's end.
func wait(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

// carryOut has every event happen at its time. Those on one thing come one behind the other, those on several overlap.
func (p *play) carryOut(ctx context.Context, start time.Time) error {
	series := map[string][]localfleet.Event{}
	for _, e := range p.plan {
		series[e.Target] = append(series[e.Target], e)
	}
	failed := make(chan error, len(series))
	for _, events := range series {
		p.f.Tasks.Go(func() { failed <- p.inSeries(ctx, start, events) })
	}
	var err error
	for range series {
		err = errors.Join(err, <-failed)
	}
	return err
}

func (p *play) inSeries(ctx context.Context, start time.Time, events []localfleet.Event) error {
	for _, e := range events {
		wait(ctx, start.Add(e.At))
		fmt.Printf("%6.1f s: %s %s\n", time.Since(start).Seconds(), e.Verb, e.Target)
		if err := p.event(e); err != nil {
			return fmt.Errorf("event %s %s: %w", e.Verb, e.Target, err)
		}
	}
	return nil
}

// procs lists the processes of a machine, of all machines if none is named, or the one that is named.
func (p *play) procs(on string) []string {
	var l []string
	for _, m := range p.place.Machines {
		for _, program := range []string{"controller", "router"} {
			name := m.Name + "." + program
			if (program == "router" || m.Disk) && (on == "" || on == m.Name || on == name) {
				l = append(l, name)
			}
		}
	}
	return l
}

// event carries one out and notes it.
func (p *play) event(e localfleet.Event) error {
	switch e.Verb {
	case "evacuate", "readmit":
		f := p.op.Evacuate
		if e.Verb == "readmit" {
			f = p.op.Readmit
		}
		if status, err := f(e.Target); status/100 != 2 {
			return fmt.Errorf("%d %v", status, err)
		}
		return nil
	case "leave":
		p.list.Drain(e.Target)
		return nil
	case "silence":
		p.f.RecordEvent(e.Verb, e.Target)
		return p.work[e.Target].Blackhole()
	case "wake":
		p.f.RecordEvent(e.Verb, e.Target)
		return p.work[e.Target].Restore()
	case "storm":
		return p.storm()
	case "killall", "startall":
		p.f.RecordEvent(e.Verb, "")
		e.Verb = e.Verb[:len(e.Verb)-len("all")]
	}
	return p.each(e)
}

// noted is how an event stands in the journal: a slow machine counts as one that stands still, as it does for the rules.
func noted(verb string) string {
	switch verb {
	case "slow":
		return "freeze"
	case "fast":
		return "thaw"
	}
	return verb
}

// frontEvent notes what happens to a machine by its front's address as well: clients know a router by that.
func (p *play) frontEvent(e localfleet.Event) {
	for _, m := range p.place.Machines {
		if verb := noted(e.Verb); m.Name == e.Target && (verb == "freeze" || verb == "thaw") {
			p.f.RecordEvent(verb, m.Front())
		}
	}
}

// each does a thing to every process of a machine, or of all.
func (p *play) each(e localfleet.Event) error {
	p.frontEvent(e)
	for _, n := range p.procs(e.Target) {
		p.f.RecordEvent(noted(e.Verb), n)
		var err error
		switch e.Verb {
		case "kill":
			if err = p.f.Signal(n, syscall.SIGKILL); err == nil {
				err = p.f.Wait(n, 5*time.Second)
			}
		case "stop", "restart":
			err = p.f.Signal(n, syscall.SIGTERM)
		case "start":
			err = p.f.Start(n)
		case "freeze":
			err = p.f.Signal(n, syscall.SIGSTOP)
		case "thaw":
			err = p.f.Signal(n, syscall.SIGCONT)
		case "slow":
			p.slow(n)
		case "fast":
			p.fast(n)
		}
		if err != nil {
			return err
		}
	}
	if e.Verb != "restart" {
		return nil
	}
	for _, n := range p.procs(e.Target) {
		if err := p.f.Wait(n, 12*time.Second); err != nil {
			return err
		}
		if err := p.f.Start(n); err != nil {
			return err
		}
	}
	return nil
}

// storm has two operators race each other ten times.
func (p *play) storm() error {
	p.docMu.Lock()
	defer p.docMu.Unlock()
	for range 10 {
		g := p.doc.Generation
		got := make(chan int, 2)
		for side := range 2 {
			d := p.doc
			d.Generation = g + 1 + uint64(side)
			p.f.Tasks.Go(func() {
				status, _ := p.op.Put(g, d)
				if status == 200 {
					p.op.RecordAcknowledged(d.Generation, standin.JSON(d))
				}
				got <- status
			})
		}
		if a, b := <-got, <-got; a == 200 && b == 200 {
			return fmt.Errorf("two changes on version %d were both taken", g)
		}
		_, b, err := p.op.Get()
		if err != nil || json.Unmarshal(b, &p.doc) != nil {
			return fmt.Errorf("reading back in a storm: %w", err)
		}
	}
	return nil
}
