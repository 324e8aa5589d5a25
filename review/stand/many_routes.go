//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"seamshunt/platform/standin"
)

// memoryMB is memory_mb of the larger deployment.
const memoryMB = 102

// resident gives a process's own resident memory in MB; pages of its program file are not counted.
func resident(pid int) int {
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n >> 10
		}
	}
	return 0
}

// The routes of one change, the time for all changes and what counts as the rule's fault: processes that end three times each
// on half of the core.
const (
	routesEach = 350
	changesFor = 100 * time.Second
	endsEach   = 3
)

// keeper is the platform's hand over one process: it kills what goes over memory_mb, and starts again what has ended.
type keeper struct {
	f    *fleet
	p    *process
	mu   sync.Mutex
	ends int
	most int
}

func (k *keeper) run(stop <-chan struct{}, over *sync.WaitGroup) {
	defer over.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		n := resident(k.p.cmd.Process.Pid)
		k.mu.Lock()
		k.most = max(k.most, n)
		k.mu.Unlock()
		if n <= memoryMB {
			continue
		}
		k.f.say("platform: %s holds %d MB, over memory_mb %d: killed", k.p.name, n, memoryMB)
		_ = k.p.cmd.Process.Signal(syscall.SIGKILL)
		<-k.p.done
		k.mu.Lock()
		k.ends++
		k.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if err := k.f.launch(k.p); err != nil {
			k.f.say("%s: %v", k.p.name, err)
			return
		}
	}
}

func (k *keeper) seen() (ends, most int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ends, k.most
}

// manyRoutes: an operator adds routes, change by change, each sent again until it is acknowledged.
func manyRoutes(record string, trouble bool) (int, error) {
	f, err := newFleet(record, 3, 3, 3)
	if err != nil {
		return failed, err
	}
	defer f.down()
	f.memory = memoryMB
	if _, err := f.addWorker("w1", "llm", "z1"); err != nil {
		return failed, err
	}
	if err := f.up(true); err != nil {
		return failed, err
	}
	if !f.untilTaken("PUT", "/config", "0", jsonOf(document(1, askRoute)), 20*time.Second, f.control()...) || !f.ready(20*time.Second) {
		return failed, errors.New("the fleet did not come up")
	}
	if err := f.settle(); err != nil {
		return failed, err
	}
	stop, over := make(chan struct{}), &sync.WaitGroup{}
	keepers := map[string]*keeper{}
	for name, p := range f.procs {
		k := &keeper{f: f, p: p}
		keepers[name] = k
		over.Add(1)
		go k.run(stop, over)
	}
	f.grow(trouble)
	close(stop)
	over.Wait()
	machines := 0
	for _, m := range f.site.Machines {
		ends, most := keepers[m.Name+".controller"].seen()
		f.say("the controller of %s went over memory_mb %d times; most %d MB", m.Name, ends, most)
		if ends >= endsEach {
			machines++
		}
	}
	if 2*machines >= len(f.control()) {
		return broken, nil
	}
	return kept, nil
}

// grow makes changes of routesEach routes until the time is up; without the trouble, changes of one route each second.
func (f *fleet) grow(trouble bool) {
	each := routesEach
	if !trouble {
		each = 1
	}
	begun := time.Now()
	for g := uint64(1); time.Since(begun) < changesFor; g++ {
		var l []standin.Route
		for i := range each {
			r := askRoute
			r.Name, r.Prefix = fmt.Sprintf("r-%d-%d", g, i), fmt.Sprintf("/p%d/q%d/", g, i)
			l = append(l, r)
		}
		body := jsonOf(standin.Change{Generation: g + 1, Upsert: standin.Lists{Routes: l}})
		sent := time.Now()
		if !f.untilTaken("PATCH", "/config", fmt.Sprint(g), body, changesFor-time.Since(begun), f.control()...) {
			f.say("change %d, for %d routes in all, has no acknowledgement after %.1f s", g, int(g)*each, time.Since(sent).Seconds())
			return
		}
		f.say("change %d acknowledged after %d ms: %d routes", g, time.Since(sent).Milliseconds(), int(g)*each)
		if !trouble {
			time.Sleep(time.Second)
		}
	}
}
