package main

import (
	"time"

	"seamshunt/internal/cluster/transport"
)

// The users' platform asks each second whether a node is ready, and takes it out once it has missed two questions. Other runs look more
// often, so that less of them is lost on nodes that are gone.
const (
	platformLooks  = time.Second
	platformMisses = 2
	looks          = 200 * time.Millisecond
)

// lookEvery is how often nodes are asked whether they are ready.
func (p *play) lookEvery() time.Duration {
	if p.rolls {
		return platformLooks
	}
	return looks
}

// look asks every node whether it is ready.
func (p *play) look() {
	ready := map[string][]string{}
	for _, x := range p.place.Machines {
		code, _, _, err := transport.HTTPRequest("GET", x.Ready(), "/readiness", nil, nil, 300*time.Millisecond)
		if p.stays(x.Name, err == nil && code == 200) {
			ready[x.Zone] = append(ready[x.Zone], x.Front())
		}
	}
	p.mu.Lock()
	p.ready = ready
	p.mu.Unlock()
}

// stays says whether a machine goes on receiving clients after a look.
func (p *play) stays(machine string, answered bool) bool {
	if answered {
		p.missed[machine] = 0
		return true
	}
	misses, known := p.missed[machine]
	p.missed[machine] = misses + 1
	return p.rolls && known && misses+1 < platformMisses
}
