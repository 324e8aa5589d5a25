//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"seamshunt/platform/standin"
)

// unsyncedRound plays the kill, the change and the closing fault. Closed says that the closing fault was played, right after the
// acknowledgement of the change; over, that the fleet isn't fit for another round.
func (f *fleet) unsyncedRound(r roles, version uint64, trouble bool) (over, closed bool, err error) {
	match, body := fmt.Sprint(version-1), jsonOf(document(version, askRoute))
	if !trouble {
		if !f.untilTaken("PUT", "/config", match, body, 4*time.Second, r.owner, r.voter) {
			return true, false, errors.New("a change was not taken")
		}
		return false, false, nil
	}
	voter, other := f.disk(r.voter), f.disk(r.other)
	if os.Getenv("TROUBLE") == "closing" { // the closing fault alone
		if !f.untilTaken("PUT", "/config", match, body, ackWithin, r.owner) {
			return true, false, errors.New("a change was not taken")
		}
		return false, true, f.closingFault(r, voter, other)
	}
	acked := make(chan bool, 1)
	go func() { acked <- f.untilTaken("PUT", "/config", match, body, ackWithin, r.owner) }()
	if err := f.killAtWrite(r.voter, r.other, voter); err != nil {
		return true, false, err
	}
	killed := time.Now()
	hit := f.interrupted(r.voter, voter)
	otherLacks := f.interrupted(r.other, other) || f.disk(r.other).size == other.size
	after := f.disk(r.voter)
	time.Sleep(time.Until(killed.Add(startDelay + rand.N(startSpan))))
	if err := f.startMachine(r.voter); err != nil {
		return true, false, err
	}
	taken := false
	select {
	case taken = <-acked:
	case <-time.After(time.Until(killed.Add(backWithin))):
	}
	if hit && otherLacks && taken && f.disk(r.voter).size == after.size {
		dirty, known := f.unsynced(r.voter)
		f.say("version %d is acknowledged %.3f s after the kill; unsynced bytes in the log of %s: %v (known: %v)", version, time.Since(killed).Seconds(), r.voter.Name, dirty, known)
		return false, true, f.closingFault(r, voter, other)
	}
	f.say("no closing fault in this round: killed in the sync %v, the other too or before the write %v, acknowledged %v", hit, otherLacks, taken)
	time.Sleep(time.Until(killed.Add(backWithin)))
	if err := f.startMachine(r.other); err != nil {
		return true, false, err
	}
	if !taken && !<-acked && !f.untilTaken("PUT", "/config", match, body, 8*time.Second, r.owner, r.voter) {
		return true, false, nil
	}
	time.Sleep(betweenRounds + rand.N(time.Second)) // else the fleet's own rhythms could make all rounds alike
	return false, false, nil
}

// closingFault has all machines lose power at once, and one its disk. What no sync had covered when the power went, if there is
// any, is missing on the voter's disk.
func (f *fleet) closingFault(r roles, voter, other diskState) error {
	for _, m := range f.control() {
		f.signal(m.Name, syscall.SIGKILL)
	}
	for _, m := range f.control() {
		<-f.procs[m.Name+".controller"].done
		<-f.procs[m.Name+".router"].done
	}
	f.say("all machines lose power, %s its disk", r.owner.Name)
	if err := f.losePower(r.voter, voter); err != nil {
		return err
	}
	if err := f.losePower(r.other, other); err != nil {
		return err
	}
	if err := os.RemoveAll(f.data(r.owner, "")); err != nil {
		return err
	}
	if err := os.MkdirAll(f.data(r.owner, ""), 0o755); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for _, m := range f.control() {
		if err := f.startMachine(m); err != nil {
			return err
		}
	}
	return nil
}

// losePower takes off a log what no sync has covered: what came behind a state that was synced, if neither the mark nor the kernel
// tells of a sync since.
func (f *fleet) losePower(m standin.Machine, synced diskState) error {
	now := f.disk(m)
	dirty, known := f.unsynced(m)
	if now.size <= synced.size || now.mark != synced.mark || known && !dirty {
		f.say("%s keeps its whole log of %d bytes", m.Name, now.size)
		return nil
	}
	f.say("%s loses the %d bytes that no sync has covered", m.Name, now.size-synced.size)
	return os.Truncate(f.data(m, "wal"), synced.size)
}

// readBack asks for the configuration again and again; an older version than the acknowledged one breaks the rule.
func (f *fleet) readBack(version uint64) (int, error) {
	answers, older := 0, 0
	var since time.Time
	c := f.control()
	for end, i := time.Now().Add(20*time.Second), 0; time.Now().Before(end) && (since.IsZero() || time.Since(since) < readFor); i++ {
		code, b := f.order(c[i%len(c)], "GET", "/config", "", nil)
		var doc struct{ Generation uint64 }
		if code == 200 && json.Unmarshal(b, &doc) == nil {
			if answers++; since.IsZero() {
				since = time.Now()
			}
			if doc.Generation < version {
				older++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.say("version %d was acknowledged; of %d answers to reads %d show an older one", version, answers, older)
	switch {
	case answers == 0:
		return failed, errors.New("no read was answered")
	case older > 0:
		return broken, nil
	}
	return kept, nil
}
