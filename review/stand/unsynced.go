//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"seamshunt/internal/units"
	"seamshunt/platform/standin"
)

// Spans of the case. The killed machines are back within a second; a read goes on for longer than contact_ms, 3 s.
const (
	startDelay    = 258 * time.Millisecond  // from the kill to the first start, at least
	startSpan     = 24 * time.Millisecond   // and so much more at most
	backWithin    = time.Second             // from the kill to the second start
	betweenRounds = 4500 * time.Millisecond // catch_up_s and a little more
	writeWithin   = 2 * time.Second
	ackWithin     = 3 * time.Second
	readFor       = 6 * time.Second
	unsyncedLimit = 115 * time.Second
)

// roles of the three machines in one round.
type roles struct {
	owner, voter, other standin.Machine
}

// controlStatus is what a control node tells of itself.
type controlStatus struct {
	Node   string                     `json:"node"`
	State  string                     `json:"state"`
	Keys   map[string]json.RawMessage `json:"keys"`
	Voters []string                   `json:"voters"`
}

func (f *fleet) status(m standin.Machine) (s controlStatus, err error) {
	code, b := f.order(m, "GET", "/status", "", nil)
	if code != 200 {
		return s, fmt.Errorf("status %d of %s", code, m.Name)
	}
	return s, json.Unmarshal(b, &s)
}

// cast finds a fleet in which one voter owns all keys while all run, since a node that comes to own a key writes to its disk at
// once: a key's owner is the eligible voter with the highest hash.
func (f *fleet) cast() (r roles, ok bool, err error) {
	c := f.control()
	nodes, keys := map[string]string{}, map[string]bool{}
	for _, m := range c {
		s, err := f.status(m)
		if err != nil {
			return r, false, err
		}
		if s.State != "voter" || len(s.Voters) != 3 {
			return r, false, fmt.Errorf("%s is a %q of %d", m.Name, s.State, len(s.Voters))
		}
		nodes[m.Name] = s.Node
		for k := range s.Keys {
			keys[k] = true
		}
	}
	for i, owner := range c {
		voter, other := c[(i+1)%3], c[(i+2)%3]
		all := true
		for k := range keys {
			top := units.Mix(k, nodes[owner.Name])
			all = all && top > units.Mix(k, nodes[voter.Name]) && top > units.Mix(k, nodes[other.Name])
		}
		if all {
			return roles{owner, voter, other}, true, nil
		}
	}
	return r, false, nil
}

// startMachine starts a machine's programs again.
func (f *fleet) startMachine(m standin.Machine) error {
	f.say("machine %s starts", m.Name)
	for _, program := range []string{"controller", "router"} {
		if p := f.procs[m.Name+"."+program]; p != nil {
			<-p.done
			if err := f.launch(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// killAtWrite kills the processes of two machines at the same moment, once the log of the first has grown.
func (f *fleet) killAtWrite(first, second standin.Machine, before diskState) error {
	log, err := os.Open(f.data(first, "wal"))
	if err != nil {
		return err
	}
	defer log.Close()
	pids := []int{f.procs[first.Name+".controller"].cmd.Process.Pid, f.procs[second.Name+".controller"].cmd.Process.Pid}
	var st syscall.Stat_t
	for end := time.Now().Add(writeWithin); time.Now().Before(end); {
		if syscall.Fstat(int(log.Fd()), &st) == nil && st.Size > before.size {
			break
		}
	}
	for _, pid := range pids {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	for _, m := range []standin.Machine{first, second} {
		f.signal(m.Name, syscall.SIGKILL)
		<-f.procs[m.Name+".controller"].done
	}
	return nil
}

// interrupted says whether a killed machine's log has grown by a write whose sync had not returned: the mark is the old one. These
// bytes are then made unsynced, whatever the kernel has made of them.
func (f *fleet) interrupted(m standin.Machine, before diskState) bool {
	after := f.disk(m)
	f.say("%s was killed with a log of %d bytes, before the change %d; its mark of what is synced is %s, before %s", m.Name, after.size, before.size, after.mark, before.mark)
	return after.size > before.size && after.mark == before.mark && f.writeAgain(m, before.size) == nil
}

// unsynced: two control nodes are killed in the sync of a write. One of them acknowledges the write after its start, without a
// sync. Then a closing fault comes.
func unsynced(record string, trouble bool) (int, error) {
	begun := time.Now()
	file, err := os.Create(record)
	if err != nil {
		return failed, err
	}
	file.Close()
	for n := 1; time.Since(begun) < unsyncedLimit-30*time.Second; n++ {
		code, again, err := unsyncedFleet(record, trouble, begun, n)
		if !again || err != nil {
			return code, err
		}
	}
	return kept, nil
}

func unsyncedFleet(record string, trouble bool, begun time.Time, n int) (code int, again bool, err error) {
	part := filepath.Join(os.TempDir(), fmt.Sprintf("review-record-%d-%d", os.Getpid(), n))
	defer os.Remove(part)
	defer func() { appendFile(record, part) }()
	f, err := newFleet(part, 3, 3, 3)
	if err != nil {
		return failed, false, err
	}
	defer f.down()
	f.start = begun
	if _, err := f.addWorker("w-z1", "llm", "z1"); err != nil {
		return failed, false, err
	}
	if err := f.up(true); err != nil {
		return failed, false, err
	}
	c := f.control()
	if !f.untilTaken("PUT", "/config", "0", jsonOf(document(1, askRoute)), 20*time.Second, c...) || !f.ready(20*time.Second) {
		return failed, false, errors.New("the fleet did not come up")
	}
	if err := f.settle(); err != nil {
		return failed, false, err
	}
	r, ok, err := f.cast()
	if err != nil {
		return failed, false, err
	}
	if !ok {
		f.say("in this fleet no control node owns all keys: another fleet")
		return kept, true, nil
	}
	time.Sleep(5 * time.Second)
	f.say("owner %s, voter %s, other voter %s", r.owner.Name, r.voter.Name, r.other.Name)
	for version := uint64(2); time.Since(begun) < unsyncedLimit-20*time.Second; version++ {
		lost, closed, err := f.unsyncedRound(r, version, trouble)
		if err != nil {
			return failed, false, err
		}
		if !trouble || closed {
			code, err := f.readBack(version)
			return code, false, err
		}
		if lost {
			return kept, true, nil
		}
	}
	return kept, false, nil
}

func appendFile(to, from string) {
	b, err := os.ReadFile(from)
	if err != nil {
		return
	}
	f, err := os.OpenFile(to, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return
	}
	defer f.Close()
	_, _ = f.Write(b)
}
