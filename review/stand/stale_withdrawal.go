//go:build review

package main

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// freeze is how long a machine stands still; the next one does so only catchUp after its return. A request counts as late from
// judgedFrom after the acknowledgement: evacuate_ms is 5 s, and all machines are in touch again contact_ms, 3 s, after the end
// of the freeze.
const (
	freeze     = 3 * time.Second
	catchUp    = 4 * time.Second
	judgedFrom = 8 * time.Second
)

// staleWithdrawal: a withdrawal of an evacuation waits at a control node that stands still. The operator's second try is taken
// elsewhere, and so is a new evacuation. Then the node wakes.
func staleWithdrawal(record string, trouble bool) (int, error) {
	f, err := newFleet(record, 3, 3, 3)
	if err != nil {
		return failed, err
	}
	defer f.down()
	for _, z := range []string{"z1", "z2", "z3"} {
		if _, err := f.addWorker("w-"+z, "llm", z); err != nil {
			return failed, err
		}
	}
	if err := f.up(true); err != nil {
		return failed, err
	}
	c := f.control()
	if !f.untilTaken("PUT", "/config", "0", jsonOf(document(1, askRoute)), 20*time.Second, c...) || !f.ready(20*time.Second) {
		return failed, errors.New("the fleet did not come up")
	}
	if err := f.settle(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go f.traffic(ctx, 50*time.Millisecond)
	const path, limit = "/evacuation/z3", 95 * time.Second
	for i := 0; time.Since(f.start) < limit; i++ {
		still, others := c[i%3], []int{(i + 1) % 3, (i + 2) % 3}
		if !f.untilTaken("POST", path, "", nil, 4*time.Second, c[others[0]], c[others[1]]) {
			return failed, errors.New("an evacuation was not taken")
		}
		time.Sleep(300 * time.Millisecond)
		frozen := time.Now()
		if trouble {
			f.signal(still.Name, syscall.SIGSTOP)
		}
		withdrawn := f.untilTaken("DELETE", path, "", nil, 4*time.Second, still, c[others[0]], c[others[1]])
		again := withdrawn && f.untilTaken("POST", path, "", nil, 4*time.Second, c[others[1]], c[others[0]])
		acked := time.Now()
		if trouble {
			time.Sleep(time.Until(frozen.Add(freeze)))
			f.signal(still.Name, syscall.SIGCONT)
		}
		if !again {
			return failed, errors.New("a withdrawal or an evacuation was not taken")
		}
		f.say("round %d: evacuation of z3 acknowledged %.3f s ago; nothing withdraws it", i+1, time.Since(acked).Seconds())
		woke := time.Now()
		time.Sleep(2 * time.Second)
		if trouble && len(f.workers[2].between(woke.Add(time.Second), time.Now())) == 0 {
			f.say("round %d: z3 gets nothing; next round", i+1)
		} else {
			time.Sleep(time.Until(acked.Add(judgedFrom + 3*time.Second)))
			late := f.workers[2].between(acked.Add(judgedFrom), time.Now())
			f.say("round %d: %d requests reached z3 more than %v after the acknowledgement", i+1, len(late), judgedFrom)
			if len(late) > 0 {
				return broken, nil
			}
		}
		if !f.untilTaken("DELETE", path, "", nil, 4*time.Second, c...) {
			return failed, errors.New("a withdrawal was not taken")
		}
		time.Sleep(time.Until(woke.Add(catchUp + 200*time.Millisecond)))
	}
	return kept, nil
}
