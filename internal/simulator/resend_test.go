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

// request is an operator's change with all copies of it that were sent.
type request struct {
	body           register.Request
	startedAt      units.Time
	answeredAt     units.Time // when a clear answer came through
	answers        []register.Result
	finalAnswer    register.Result // the answer once all is quiet again
	receivedAnswer register.Result
}

func isFinal(code resultcode.Code) bool {
	return code == resultcode.OK || code == resultcode.VersionConflict
}

// operators are clients that send an order again, to any machine, until a clear answer comes through.
type operators struct {
	w        *World
	rng      *rand.Rand
	until    units.Time
	requests []*request
	reads    []linearizability.Call
}

// read asks for the configuration's number until it is told.
func (p *operators) read(then func(units.Version)) {
	from, w := p.w.Now, p.w
	w.Call(register.Request{Key: "config"}, func(o *Op) {
		if o.Code != resultcode.OK {
			w.After(200*time.Millisecond, func() { p.read(then) })
			return
		}
		p.reads = append(p.reads, linearizability.Call{CalledAt: int64(from), ReturnedAt: int64(w.Now), Version: uint64(o.Version), Data: o.Data, Outcome: linearizability.Succeeded})
		then(o.Version)
	})
}

// send makes one copy of an order, and the next one after a random while if no clear answer has come through by then.
func (p *operators) send(x *request, lossRate float64, done func()) {
	w := p.w
	if c := w.anyController(); c != nil {
		c.Submit(w.Sim, x.body, func(r register.Result) {
			x.answers = append(x.answers, r)
			if x.answeredAt > 0 || !isFinal(r.Code) || p.rng.Float64() < lossRate {
				return
			}
			x.answeredAt, x.receivedAnswer = w.Now, r
			done()
		})
	}
	w.After(300*time.Millisecond+time.Duration(p.rng.Int64N(int64(4*time.Second))), func() {
		if x.answeredAt == 0 && w.Now < p.until {
			p.send(x, lossRate, done)
		}
	})
}

// runOperator lets one operator make one order after the other.
func (p *operators) runOperator(lossRate float64, pause time.Duration) {
	if p.w.Now >= p.until {
		return
	}
	p.read(func(num units.Version) {
		n := len(p.requests)
		x := &request{startedAt: p.w.Now, body: register.Request{Key: "config", Write: true, ExpectedVersion: num, RequestID: fmt.Sprint("order ", n), Data: fmt.Append(nil, n)}}
		p.requests = append(p.requests, x)
		p.send(x, lossRate, func() { p.w.After(pause, func() { p.runOperator(lossRate, pause) }) })
	})
}

// checkAnswers looks at every answer that was given, also those that were lost. So few orders as are made here, fewer than
// register.MaxOutcomes, must be known to the last.
func (p *operators) checkAnswers() (bad []string) {
	writtenBy := map[units.Version]int{}
	for i, x := range p.requests {
		var got units.Version
		refused := false
		for _, r := range x.answers {
			switch {
			case r.Code == resultcode.VersionConflict:
				refused = true
			case r.Code == resultcode.OK && (r.Version != x.body.ExpectedVersion+1 || got != 0 && r.Version != got):
				bad = append(bad, fmt.Sprintf("order %d on %d got number %d and %d", i, x.body.ExpectedVersion, got, r.Version))
			case r.Code == resultcode.OK:
				got = r.Version
			}
		}
		if !isFinal(x.finalAnswer.Code) {
			bad = append(bad, fmt.Sprintf("order %d has no clear answer when all is quiet: %d", i, x.finalAnswer.Code))
		}
		if got != 0 && refused {
			bad = append(bad, fmt.Sprintf("order %d was taken as number %d, and refused", i, got))
		}
		if other, ok := writtenBy[got]; ok && got != 0 {
			bad = append(bad, fmt.Sprintf("orders %d and %d both got number %d", other, i, got))
		}
		writtenBy[got] = i
	}
	return append(bad, p.checkLinearizable()...)
}

// checkLinearizable checks what the operators heard.
func (p *operators) checkLinearizable() []string {
	calls := p.reads
	for _, x := range p.requests {
		c := linearizability.Call{Kind: linearizability.Write, CalledAt: int64(x.startedAt), ReturnedAt: int64(x.answeredAt), ExpectedVersion: uint64(x.body.ExpectedVersion),
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

// configOwner is the machine that should own the configuration, as any machine sees it.
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

// injectRandomFault brings one trouble about, mostly on the owner.
func (w *World) injectRandomFault() {
	h := w.configOwner()
	if w.Rng.IntN(3) == 0 {
		h = pick(w, w.controllerHosts)
	}
	if !w.hasHealthyMajority() || h.Proc == nil || h.Paused || h.Isolated {
		return
	}
	span := 300*time.Millisecond + time.Duration(w.Rng.Int64N(int64(4*time.Second)))
	switch w.Rng.IntN(6) {
	case 0:
		w.restart(h, span, w.Rng.IntN(2) == 0)
	case 1:
		w.pause(h, span)
	case 2:
		w.isolate(h, span)
	case 3: // cut off from the rest of the core alone, one way or both
		both := w.Rng.IntN(2) == 0
		w.partition(span, func(a, b *Host) bool { return a.Disk != nil && b.Disk != nil && (a == h || both && b == h) })
	case 4:
		w.slowDisk(h, 150*time.Millisecond, span)
	case 5: // the disk is lost: its successor comes in and it goes out, two changes of the quorum set
		if w.quorumComplete() { // one at a time, as the deployments bear
			w.loseDisk(int(w.lastSerial)%len(w.controllerHosts), span, w.Rng.IntN(2) == 0)
		}
	}
}

// runResends plays one seed: eight operators whose answers are lost, and one that makes dozens of changes a second.
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
	// Each order once more, now that all is quiet: also those that were taken hundreds of changes ago.
	for _, x := range p.requests {
		w.anyController().Submit(w.Sim, x.body, func(r register.Result) { x.answers, x.finalAnswer = append(x.answers, r), r })
		w.Run(w.Now.Add(20 * time.Millisecond))
	}
	w.Run(w.Now.Add(6 * time.Second))
	return p, w
}

// Orders that are sent again after lost answers, to any machine, through losses of owners, of disks and changes of the
// quorum set, with hundreds of changes in between: one that was taken is acknowledged again or left open, never refused;
// one wins each number; the history is linearizable (docs/control-safety-2-orders.md).
func TestResentRequests(t *testing.T) {
	t.Parallel()
	changes, resends, most := 0, 0, 0
	n := max(4, *seedCount)
	for seed := *firstSeed; seed < *firstSeed+uint64(n); seed++ {
		p, w := runResends(seed, 3+int(seed%4))
		for _, fault := range p.checkAnswers() {
			t.Errorf("%d machines, seed %d: %s", len(w.controllerHosts), seed, fault)
		}
		here := 0
		for _, x := range p.requests {
			took := 0
			for _, r := range x.answers {
				if r.Code == resultcode.OK {
					took++
				}
			}
			here += min(1, took)
			resends += max(0, took-1)
		}
		changes, most = changes+here, max(most, here)
	}
	if changes < 100*n || resends < 100*n {
		t.Errorf("%d changes and %d resends in %d seeds try nothing", changes, resends, n)
	}
	t.Logf("%d seeds: %d changes taken, %d in one seed at most, %d times acknowledged again", n, changes, most, resends)
}
