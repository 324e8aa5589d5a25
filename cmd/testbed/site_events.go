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

// waitUntil waits until a time or the end of the context.
func waitUntil(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

// runEvents carries out every event at its time. Events of one target run in order; those of different targets may overlap.
func (p *siteRun) runEvents(ctx context.Context, start time.Time) error {
	series := map[string][]localfleet.Event{}
	for _, e := range p.schedule {
		series[e.Target] = append(series[e.Target], e)
	}
	failed := make(chan error, len(series))
	for _, events := range series {
		p.fleet.Tasks.Go(func() { failed <- p.runSeries(ctx, start, events) })
	}
	var err error
	for range series {
		err = errors.Join(err, <-failed)
	}
	return err
}

func (p *siteRun) runSeries(ctx context.Context, start time.Time, events []localfleet.Event) error {
	for _, e := range events {
		waitUntil(ctx, start.Add(e.At))
		fmt.Printf("%6.1f s: %s %s\n", time.Since(start).Seconds(), e.Verb, e.Target)
		if err := p.inject(e); err != nil {
			return fmt.Errorf("event %s %s: %w", e.Verb, e.Target, err)
		}
	}
	return nil
}

// processNames returns the processes of a machine, a single process by its own name, or all processes if target is empty.
func (p *siteRun) processNames(target string) []string {
	var l []string
	for _, m := range p.deployment.Machines {
		for _, program := range []string{"controller", "router"} {
			name := m.Name + "." + program
			if (program == "router" || m.Disk) && (target == "" || target == m.Name || target == name) {
				l = append(l, name)
			}
		}
	}
	return l
}

// inject carries out one event and records it.
func (p *siteRun) inject(e localfleet.Event) error {
	switch e.Verb {
	case "evacuate", "readmit":
		f := p.operator.Evacuate
		if e.Verb == "readmit" {
			f = p.operator.Readmit
		}
		if status, err := f(e.Target); status/100 != 2 {
			return fmt.Errorf("%d %v", status, err)
		}
		return nil
	case "leave":
		p.workerList.Drain(e.Target)
		return nil
	case "silence":
		p.fleet.RecordEvent(e.Verb, e.Target)
		return p.standinWorkers[e.Target].Blackhole()
	case "wake":
		p.fleet.RecordEvent(e.Verb, e.Target)
		return p.standinWorkers[e.Target].Restore()
	case "storm":
		return p.raceOperators()
	case "killall", "startall":
		p.fleet.RecordEvent(e.Verb, "")
		e.Verb = e.Verb[:len(e.Verb)-len("all")]
	}
	return p.applyToProcesses(e)
}

// journalVerb returns the verb that the journal holds for an event. A slow machine is recorded as paused, as the rules treat it.
func journalVerb(verb string) string {
	switch verb {
	case "slow":
		return "freeze"
	case "fast":
		return "thaw"
	}
	return verb
}

// recordForClients records pauses of a machine under its client address as well, by which clients know a router.
func (p *siteRun) recordForClients(e localfleet.Event) {
	for _, m := range p.deployment.Machines {
		if verb := journalVerb(e.Verb); m.Name == e.Target && (verb == "freeze" || verb == "thaw") {
			p.fleet.RecordEvent(verb, m.Front())
		}
	}
}

// applyToProcesses applies an event to the processes that it targets.
func (p *siteRun) applyToProcesses(e localfleet.Event) error {
	p.recordForClients(e)
	for _, n := range p.processNames(e.Target) {
		p.fleet.RecordEvent(journalVerb(e.Verb), n)
		var err error
		switch e.Verb {
		case "kill":
			if err = p.fleet.Signal(n, syscall.SIGKILL); err == nil {
				err = p.fleet.Wait(n, 5*time.Second)
			}
		case "stop", "restart":
			err = p.fleet.Signal(n, syscall.SIGTERM)
		case "start":
			err = p.fleet.Start(n)
		case "freeze":
			err = p.fleet.Signal(n, syscall.SIGSTOP)
		case "thaw":
			err = p.fleet.Signal(n, syscall.SIGCONT)
		case "slow":
			p.slowDown(n)
		case "fast":
			p.restoreSpeed(n)
		}
		if err != nil {
			return err
		}
	}
	if e.Verb != "restart" {
		return nil
	}
	for _, n := range p.processNames(e.Target) {
		if err := p.fleet.Wait(n, 12*time.Second); err != nil {
			return err
		}
		if err := p.fleet.Start(n); err != nil {
			return err
		}
	}
	return nil
}

// raceOperators has two operators race ten times with changes on the same version.
func (p *siteRun) raceOperators() error {
	p.documentMu.Lock()
	defer p.documentMu.Unlock()
	for range 10 {
		g := p.document.Generation
		got := make(chan int, 2)
		for side := range 2 {
			d := p.document
			d.Generation = g + 1 + uint64(side)
			p.fleet.Tasks.Go(func() {
				status, _ := p.operator.Put(g, d)
				if status == 200 {
					p.operator.RecordAcknowledged(d.Generation, standin.JSON(d))
				}
				got <- status
			})
		}
		if a, b := <-got, <-got; a == 200 && b == 200 {
			return fmt.Errorf("two changes on version %d were both accepted", g)
		}
		_, b, err := p.operator.Get()
		if err != nil || json.Unmarshal(b, &p.document) != nil {
			return fmt.Errorf("reading back after a race of operators: %w", err)
		}
	}
	return nil
}
