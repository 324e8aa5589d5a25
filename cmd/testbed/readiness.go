package main

import (
	"time"

	"seamshunt/internal/cluster/transport"
)

// The users' platform probes each node's readiness every second and removes the node after two failed probes. Runs with other
// faults than restarts probe more often, so that fewer requests are lost on nodes that are down.
const (
	platformProbeInterval = time.Second
	platformMaxMisses     = 2
	defaultProbeInterval  = 200 * time.Millisecond
)

// probeInterval returns the interval between two readiness probes of a node.
func (p *siteRun) probeInterval() time.Duration {
	if p.restartsOnly {
		return platformProbeInterval
	}
	return defaultProbeInterval
}

// probeReadiness probes every node and updates the list of ready ones.
func (p *siteRun) probeReadiness() {
	ready := map[string][]string{}
	for _, x := range p.deployment.Machines {
		code, _, _, err := transport.HTTPRequest("GET", x.Ready(), "/readiness", nil, nil, 300*time.Millisecond)
		if p.receivesClients(x.Name, err == nil && code == 200) {
			ready[x.Zone] = append(ready[x.Zone], x.Front())
		}
	}
	p.mu.Lock()
	p.ready = ready
	p.mu.Unlock()
}

// receivesClients reports whether a machine still receives clients after a probe.
func (p *siteRun) receivesClients(machine string, answered bool) bool {
	if answered {
		p.missedProbes[machine] = 0
		return true
	}
	misses, known := p.missedProbes[machine]
	p.missedProbes[machine] = misses + 1
	return p.restartsOnly && known && misses+1 < platformMaxMisses
}
