package localfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"time"

	"seamshunt/internal/checker"
	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/config"
	"seamshunt/internal/config/routing"
	"seamshunt/internal/standin"
)

// Drill takes one zone out of a running fleet, checks the invariants meanwhile, and restores the zone.
type Drill struct {
	ControllerAddr string // a controller's HTTP address
	Zone           string
	Method         string        // evacuate, or kill through the harness
	HarnessAddr    string        // the harness's address, for kill
	JournalDir     string        // journals of a local run; checked as well if set
	Duration       time.Duration // how long the zone stays out
	Output         io.Writer
	members        []member
	probeTarget    string
}

type member struct {
	Node, Role, Zone, Addr, Web, State string
	Draining, Unfit, Ready             bool
}

// ErrNotReady is returned if the fleet is degraded already or can't tolerate the loss of the zone.
var ErrNotReady = errors.New("drill refused")

func (d *Drill) fetchStatus() (l []member, voters []string, err error) {
	code, b, _, err := transport.HTTPRequest("GET", d.ControllerAddr, "/status", nil, nil, 3*time.Second)
	if err != nil || code != 200 {
		return nil, nil, fmt.Errorf("drill: no status from %s: %d %v", d.ControllerAddr, code, err)
	}
	var x struct {
		Members []member
		Voters  []string
	}
	if err := json.Unmarshal(b, &x); err != nil {
		return nil, nil, fmt.Errorf("drill: %s is not a controller: %w", d.ControllerAddr, err)
	}
	return x.Members, x.Voters, nil
}

// checkReady returns ErrNotReady if the fleet is degraded already or can't tolerate the loss of the zone.
func (d *Drill) checkReady() error {
	members, voters, err := d.fetchStatus()
	if err != nil {
		return err
	}
	alive, zones, remainingVoters := map[string]bool{}, map[string]int{}, 0
	for _, m := range members {
		if m.State == "alive" {
			alive[m.Addr] = true
			if m.Role == "router" && m.Ready {
				zones[m.Zone]++
			}
			if m.Zone != d.Zone && slices.Contains(voters, m.Node) {
				remainingVoters++
			}
		}
	}
	for _, m := range members {
		switch {
		case m.State != "alive" && m.State != "left" && !alive[m.Addr]:
			return fmt.Errorf("%w: %s in zone %s is %s", ErrNotReady, m.Addr, m.Zone, m.State)
		case m.State == "alive" && (m.Unfit || m.Draining || m.Role == "router" && !m.Ready):
			return fmt.Errorf("%w: %s in zone %s is not fully operational (unfit %v, draining %v, ready %v)", ErrNotReady, m.Addr, m.Zone, m.Unfit, m.Draining, m.Ready)
		}
	}
	if zones[d.Zone] == 0 {
		return fmt.Errorf("%w: no ready router in zone %q", ErrNotReady, d.Zone)
	}
	if len(zones) < 2 {
		return fmt.Errorf("%w: there is no other zone", ErrNotReady)
	}
	if remainingVoters <= len(voters)/2 {
		return fmt.Errorf("%w: %d of %d voters would be left", ErrNotReady, remainingVoters, len(voters))
	}
	for z := range zones {
		if code, b, _, err := transport.HTTPRequest("GET", d.ControllerAddr, "/v1/zones/"+z, nil, nil, 8*time.Second); err != nil || code == 200 && string(b) != `{"evacuated":false}` {
			return fmt.Errorf("%w: zone %s is in state %s %v", ErrNotReady, z, b, err)
		}
	}
	d.members = members
	return d.findProbePath()
}

// findProbePath finds a mapping whose requests may be repeated, as the target of probes.
func (d *Drill) findProbePath() error {
	code, b, _, err := transport.HTTPRequest("GET", d.ControllerAddr, "/v1/config", nil, nil, 8*time.Second)
	if err != nil || code != 200 {
		return fmt.Errorf("%w: no configuration can be read: %d %v", ErrNotReady, code, err)
	}
	c, faults := config.Parse(b)
	if len(faults) > 0 {
		return faults[0]
	}
	for _, m := range c.Mappings {
		if !m.Once && len(m.Conditions) == 1 && m.Conditions[0].Op == routing.OpPath {
			d.probeTarget = m.Conditions[0].Text
			return nil
		}
	}
	return fmt.Errorf("%w: no mapping that may repeat can be probed", ErrNotReady)
}

// dispatchCount returns the number of requests dispatched into the zone, over all routers that answer.
func (d *Drill) dispatchCount() (n int) {
	for _, m := range d.members {
		if m.Role != "router" {
			continue
		}
		var x struct {
			Handed map[string]int `json:"handed_over"`
		}
		if code, b, _, err := transport.HTTPRequest("GET", m.Web, "/status", nil, nil, time.Second); err == nil && code == 200 && json.Unmarshal(b, &x) == nil {
			n += x.Handed[d.Zone]
		}
	}
	return n
}

// sendProbe sends one request through a router outside the zone and reports whether it was answered completely.
func (d *Drill) sendProbe(ctx context.Context, i int) bool {
	var l []string
	for _, m := range d.members {
		if m.Role == "router" && m.Zone != d.Zone {
			l = append(l, m.Web)
		}
	}
	e := standin.Send(ctx, l[i%len(l)], standin.Request{RequestKind: standin.RequestKind{Path: d.probeTarget, TimeLeftMs: 4000, Pieces: 3},
		Job: fmt.Sprintf("drill-%d-%d", standin.Now(), i), Prompt: fmt.Sprintf("drill %d", i)}, "")
	return e.Status == 200 && e.Complete
}

func (d *Drill) setZoneOut(out bool) error {
	if d.Method == "evacuate" {
		f := &Fleet{processes: map[string]*process{"core": {kind: "controller", httpAddr: d.ControllerAddr}}}
		for _, m := range d.members {
			if m.Role == "controller" {
				f.processes[m.Node] = &process{kind: "controller", httpAddr: m.Web}
			}
		}
		_, err := f.WriteKey("/v1/zones/"+d.Zone, fmt.Appendf(nil, `{"evacuated":%v}`, out), 10*time.Second)
		return err
	}
	verb := map[bool]string{true: "killzone", false: "startzone"}[out]
	code, b, _, err := transport.HTTPRequest("GET", d.HarnessAddr, "/harness?event="+url.QueryEscape(verb+":"+d.Zone), nil, nil, 30*time.Second)
	if err == nil && code != 200 {
		err = fmt.Errorf("drill: the harness answered %s", b)
	}
	return err
}

// restoreZone restores the zone through any known controller. If all fail, it prints the possible state and the remedy.
func (d *Drill) restoreZone() error {
	err := d.setZoneOut(false)
	if err == nil {
		fmt.Fprintf(d.Output, "zone %s is given back\n", d.Zone)
		return nil
	}
	state, remedy := "EVACUATED", "controller readmit --at ADDRESS "+d.Zone+", and confirm the plan"
	if d.Method == "kill" {
		state, remedy = "DOWN", "start its processes"
	}
	fmt.Fprintf(d.Output, "zone %s MAY STILL BE %s: %s\n", d.Zone, state, remedy)
	return fmt.Errorf("drill: zone %s could not be restored: %w", d.Zone, err)
}

// Run runs the drill. It returns the findings, or the error that prevented them.
func (d *Drill) Run(ctx context.Context) (l []checker.Finding, err error) {
	if err := d.checkReady(); err != nil {
		return nil, err
	}
	before, err := d.readConfig()
	if err != nil {
		return nil, err
	}
	startedAt := standin.Now()
	restoreTried := false
	defer func() {
		if !restoreTried {
			err = errors.Join(err, d.restoreZone())
		}
	}()
	if err := d.setZoneOut(true); err != nil {
		return nil, err // the change may have been made all the same, so the zone is restored
	}
	d.recordEvacuation("evacuate")
	outSince := time.Now()
	fmt.Fprintf(d.Output, "zone %s is out\n", d.Zone)
	countAt5s, sent, answered := -1, 0, 0
	for i := 0; time.Since(outSince) < d.Duration && ctx.Err() == nil; i++ {
		if countAt5s < 0 && time.Since(outSince) >= 5*time.Second {
			countAt5s = d.dispatchCount()
		}
		sent++
		if d.sendProbe(ctx, i) {
			answered++
		}
		_ = sleepUntil(ctx, time.Now().Add(100*time.Millisecond))
	}
	finalCount := d.dispatchCount()
	restoreTried = true
	d.recordEvacuation("readmit")
	if err := d.restoreZone(); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, errors.New("drill: interrupted; the zone was restored, and nothing was checked")
	}
	if d.Method == "evacuate" {
		l = append(l, checker.Finding{Invariant: "the zone gets nothing new after 5 s", Holds: countAt5s >= 0 && finalCount == countAt5s,
			Detail: fmt.Sprintf("%d hand-overs into it between 5 s and the end", finalCount-countAt5s)})
	}
	l = append(l, checker.Finding{Invariant: "the other zones serve on", Holds: sent > 0 && answered*100 >= sent*95, Detail: fmt.Sprintf("%d of %d probes answered whole", answered, sent)})
	recovery := "not within 20 s"
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); _ = sleepUntil(ctx, time.Now().Add(250*time.Millisecond)) {
		if d.checkReady() == nil {
			recovery = fmt.Sprintf("after %.1f s", 20-time.Until(end).Seconds())
			break
		}
	}
	l = append(l, checker.Finding{Invariant: "the fleet is whole again", Holds: recovery[0] == 'a', Detail: recovery})
	if now, err := d.readConfig(); err != nil || now != before {
		l = append(l, checker.Finding{Invariant: checker.ConfigReadBack, Detail: fmt.Sprintf("it was %s, now %s %v", before, now, err)})
	} else {
		l = append(l, checker.Finding{Invariant: checker.ConfigReadBack, Holds: true, Detail: "the same number and bytes as before the drill"})
	}
	if d.JournalDir != "" {
		journalFindings, err := d.checkJournals(startedAt)
		return append(l, journalFindings...), err
	}
	return l, nil
}
