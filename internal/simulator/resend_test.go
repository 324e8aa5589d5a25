package simulator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"seamshunt/internal/control/register"
	"seamshunt/internal/linearizability"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// request is an operator's change with the answers to all copies that were sent.
type request struct {
	body           register.Request
	startedAt      units.Time
	answeredAt     units.Time // when the operator received a final answer
	answers        []register.Result
	finalAnswer    register.Result // the answer after all faults have ended
	receivedAnswer register.Result
}

func isFinal(code resultcode.Code) bool {
	return code == resultcode.OK || code == resultcode.VersionConflict
}

// operators resend each request, to any controller, until they receive a final answer.
type operators struct {
	w        *World
	rng      *rand.Rand
	until    units.Time
	requests []*request
	reads    []linearizability.Call
}

// read retries a read of the configuration until it succeeds.
func (p *operators) read(then func(units.Version)) {
	calledAt, w := p.w.Now, p.w
	w.Call(register.Request{Key: "config"}, func(o *Op) {
		if o.Code != resultcode.OK {
			w.After(200*time.Millisecond, func() { p.read(then) })
			return
		}
		p.reads = append(p.reads, linearizability.Call{CalledAt: int64(calledAt), ReturnedAt: int64(w.Now),
			Version: uint64(o.Version), Data: o.Data, Outcome: linearizability.Succeeded})
		then(o.Version)
	})
}

// send sends one copy of a request, and another one after a random time unless a final answer has been received by then.
func (p *operators) send(sent *request, lossRate float64, done func()) {
	w := p.w
	if c := w.anyController(); c != nil {
		c.Submit(w.Sim, sent.body, func(r register.Result) {
			sent.answers = append(sent.answers, r)
			if sent.answeredAt > 0 || !isFinal(r.Code) || p.rng.Float64() < lossRate {
				return
			}
			sent.answeredAt, sent.receivedAnswer = w.Now, r
			done()
		})
	}
	w.After(300*time.Millisecond+time.Duration(p.rng.Int64N(int64(4*time.Second))), func() {
		if sent.answeredAt == 0 && w.Now < p.until {
			p.send(sent, lossRate, done)
		}
	})
}

// runOperator makes changes one after another, with a pause in between.
func (p *operators) runOperator(lossRate float64, pause time.Duration) {
	if p.w.Now >= p.until {
		return
	}
	p.read(func(version units.Version) {
		n := len(p.requests)
		change := &request{startedAt: p.w.Now, body: register.Request{Key: "config", Write: true, ExpectedVersion: version,
			RequestID: fmt.Sprint("order ", n), Data: fmt.Append(nil, n)}}
		p.requests = append(p.requests, change)
		p.send(change, lossRate, func() { p.w.After(pause, func() { p.runOperator(lossRate, pause) }) })
	})
}

// checkAnswers checks all answers, also lost ones. The run makes fewer than register.MaxOutcomes requests, so the outcome of
// each must still be known at the end.
func (p *operators) checkAnswers() (violations []string) {
	writtenBy := map[units.Version]int{}
	for i, x := range p.requests {
		var version units.Version
		refused := false
		for _, r := range x.answers {
			switch {
			case r.Code == resultcode.VersionConflict:
				refused = true
			case r.Code == resultcode.OK && (r.Version != x.body.ExpectedVersion+1 || version != 0 && r.Version != version):
				violations = append(violations, fmt.Sprintf("request %d with expected version %d got versions %d and %d", i,
					x.body.ExpectedVersion, version, r.Version))
			case r.Code == resultcode.OK:
				version = r.Version
			}
		}
		if !isFinal(x.finalAnswer.Code) {
			violations = append(violations, fmt.Sprintf("request %d has no final answer after all faults have ended: %d", i,
				x.finalAnswer.Code))
		}
		if version != 0 && refused {
			violations = append(violations, fmt.Sprintf("request %d was accepted as version %d, and refused", i, version))
		}
		if other, ok := writtenBy[version]; ok && version != 0 {
			violations = append(violations, fmt.Sprintf("requests %d and %d both got version %d", other, i, version))
		}
		writtenBy[version] = i
	}
	return append(violations, p.checkLinearizable()...)
}

// checkLinearizable checks that the history of the answers that the operators received is linearizable.
func (p *operators) checkLinearizable() []string {
	calls := p.reads
	for _, x := range p.requests {
		c := linearizability.Call{Kind: linearizability.Write, CalledAt: int64(x.startedAt),
			ReturnedAt: int64(x.answeredAt), ExpectedVersion: uint64(x.body.ExpectedVersion),
			Version: uint64(x.body.ExpectedVersion) + 1, Data: string(x.body.Data)}
		switch x.receivedAnswer.Code {
		case resultcode.OK:
			c.Outcome = linearizability.Succeeded
		case resultcode.VersionConflict:
			c.Outcome = linearizability.Rejected
		}
		calls = append(calls, c)
	}
	if got := linearizability.Check(calls, time.Minute); got != porcupine.Ok {
		return []string{fmt.Sprintf("the history of %d calls is %s", len(calls), got)}
	}
	return nil
}

// configOwner returns the owner of the configuration in the view of the first running controller.
func (w *World) configOwner() *Host {
	for _, h := range w.controllerHosts {
		if !w.alive(h) {
			continue
		}
		owner := w.controllers[h].Replica.Owner("config")
		for _, o := range w.controllerHosts {
			if o.Disk.ID == owner {
				return o
			}
		}
	}
	return w.controllerHosts[0]
}

// injectRandomFault injects a fault, in most cases on the owner of the configuration.
func (w *World) injectRandomFault() {
	h := w.configOwner()
	if w.Rng.IntN(3) == 0 {
		h = pick(w, w.controllerHosts)
	}
	if !w.hasHealthyMajority() || h.Proc == nil || h.Paused || h.Isolated {
		return
	}
	duration := 300*time.Millisecond + time.Duration(w.Rng.Int64N(int64(4*time.Second)))
	switch w.Rng.IntN(6) {
	case 0:
		w.restart(h, duration, w.Rng.IntN(2) == 0)
	case 1:
		w.pause(h, duration)
	case 2:
		w.isolate(h, duration)
	case 3: // partitioned from the other controllers only, in one or both directions
		both := w.Rng.IntN(2) == 0
		w.partition(duration, func(a, b *Host) bool { return a.Disk != nil && b.Disk != nil && (a == h || both && b == h) })
	case 4:
		w.slowDisk(h, 150*time.Millisecond, duration)
	case 5: // disk lost: adding its replacement and removing the lost one are two changes of the quorum set
		if w.quorumComplete() { // the deployments tolerate only one lost disk at a time
			w.loseDisk(int(w.lastSerial)%len(w.controllerHosts), duration, w.Rng.IntN(2) == 0)
		}
	}
}

// runResends runs one seed: eight operators lose most answers, and one makes dozens of changes a second.
func runResends(seed uint64, machines int) (*operators, *World) {
	w := bootstrappedWorld(seed, machines)
	w.Run(units.Time(6 * time.Second))
	p := &operators{w: w, rng: rand.New(rand.NewPCG(seed, 17)), until: w.Now.Add(24 * time.Second)}
	for i := range 8 {
		w.After(time.Duration(i)*100*time.Millisecond, func() { p.runOperator(0.7, 50*time.Millisecond) })
	}
	p.runOperator(0, 5*time.Millisecond)
	for at := 2 * time.Second; at < 20*time.Second; at += time.Second + time.Duration(w.Rng.Int64N(int64(3*time.Second))) {
		w.After(at, w.injectRandomFault)
	}
	w.Run(p.until.Add(12 * time.Second))
	// Resend every request after all faults have ended, also those accepted hundreds of changes ago.
	for _, x := range p.requests {
		w.anyController().Submit(w.Sim, x.body, func(r register.Result) {
			x.answers, x.finalAnswer = append(x.answers, r), r
		})
		w.Run(w.Now.Add(20 * time.Millisecond))
	}
	w.Run(w.Now.Add(6 * time.Second))
	return p, w
}

// Requests are resent after lost answers, to any controller, through losses of owners and disks, changes of the quorum set,
// and hundreds of other changes. An accepted request is acknowledged again or left unanswered, never refused. Only one
// request gets each version, and the history is linearizable (docs/control-safety-2-orders.md).
func TestResentRequests(t *testing.T) {
	t.Parallel()
	changes, resends, maxChanges := 0, 0, 0
	n := max(4, *seedCount)
	for seed := *firstSeed; seed < *firstSeed+uint64(n); seed++ {
		p, w := runResends(seed, 3+int(seed%4))
		for _, fault := range p.checkAnswers() {
			t.Errorf("%d machines, seed %d: %s", len(w.controllerHosts), seed, fault)
		}
		seedChanges := 0
		for _, x := range p.requests {
			acknowledgements := 0
			for _, r := range x.answers {
				if r.Code == resultcode.OK {
					acknowledgements++
				}
			}
			seedChanges += min(1, acknowledgements)
			resends += max(0, acknowledgements-1)
		}
		changes, maxChanges = changes+seedChanges, max(maxChanges, seedChanges)
	}
	if changes < 100*n || resends < 100*n {
		t.Errorf("only %d changes and %d repeated acknowledgements in %d seeds", changes, resends, n)
	}
	t.Logf("%d seeds: %d changes accepted, at most %d in one seed, %d repeated acknowledgements", n, changes, maxChanges,
		resends)
}
