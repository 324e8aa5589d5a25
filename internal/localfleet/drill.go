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

// Drill takes one zone out of a running fleet, checks the promises meanwhile, and gives the zone back.
type Drill struct {
	ControllerAddr string // a controller's web address
	Zone           string
	Method         string        // evacuate, or kill by way of the harness
	HarnessAddr    string        // the harness's address, for kill
	JournalDir     string        // a local run's journals, judged too when given
	Duration       time.Duration // how long the zone stays out
	Output         io.Writer
	members        []member
	path           string
}

type member struct {
	Node, Role, Zone, Addr, Web, State string
	Draining, Unfit, Ready             bool
}

// ErrNotReady refuses a drill on a fleet that is short already.
var ErrNotReady = errors.New("drill refused")

func (d *Drill) status() (l []member, voters []string, err error) {
	code, b, _, err := transport.HTTPRequest("GET", d.ControllerAddr, "/status", nil, nil, 3*time.Second)
	if err != nil || code != 200 {
		return nil, nil, fmt.Errorf("drill: no status from %s: %d %v", d.ControllerAddr, code, err)
	}
	var x struct {
		Members []member
		Voters  []string
	}
	if err := json.Unmarshal(b, &x); err != nil {
		return nil, nil, fmt.Errorf("drill: %s is no controller: %w", d.ControllerAddr, err)
	}
	return x.Members, x.Voters, nil
}

// ready refuses a fleet that can't bear losing the zone.
func (d *Drill) ready() error {
	l, voters, err := d.status()
	if err != nil {
		return err
	}
	live, zones, left := map[string]bool{}, map[string]int{}, 0
	for _, m := range l {
		if m.State == "alive" {
			live[m.Addr] = true
			if m.Role == "router" && m.Ready {
				zones[m.Zone]++
			}
			if m.Zone != d.Zone && slices.Contains(voters, m.Node) {
				left++
			}
		}
	}
	for _, m := range l {
		switch {
		case m.State != "alive" && m.State != "left" && !live[m.Addr]:
			return fmt.Errorf("%w: %s in zone %s is %s", ErrNotReady, m.Addr, m.Zone, m.State)
		case m.State == "alive" && (m.Unfit || m.Draining || m.Role == "router" && !m.Ready):
			return fmt.Errorf("%w: %s in zone %s is not whole (unfit %v, draining %v, ready %v)", ErrNotReady, m.Addr, m.Zone, m.Unfit, m.Draining, m.Ready)
		}
	}
	if zones[d.Zone] == 0 {
		return fmt.Errorf("%w: no ready router in zone %q", ErrNotReady, d.Zone)
	}
	if len(zones) < 2 {
		return fmt.Errorf("%w: there is no other zone", ErrNotReady)
	}
	if left <= len(voters)/2 {
		return fmt.Errorf("%w: %d of %d voters would be left", ErrNotReady, left, len(voters))
	}
	for z := range zones {
		if code, b, _, err := transport.HTTPRequest("GET", d.ControllerAddr, "/v1/zones/"+z, nil, nil, 8*time.Second); err != nil || code == 200 && string(b) != `{"evacuated":false}` {
			return fmt.Errorf("%w: zone %s stands at %s %v", ErrNotReady, z, b, err)
		}
	}
	d.members = l
	return d.probePath()
}

// probePath finds a mapping that may repeat, to send probes to.
func (d *Drill) probePath() error {
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
			d.path = m.Conditions[0].Text
			return nil
		}
	}
	return fmt.Errorf("%w: no mapping that may repeat can be probed", ErrNotReady)
}

// handed counts the hand-overs into the zone, over all routers that answer.
func (d *Drill) handed() (n int) {
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

// probe sends one prompt by way of a router outside the zone.
func (d *Drill) probe(ctx context.Context, i int) bool {
	var l []string
	for _, m := range d.members {
		if m.Role == "router" && m.Zone != d.Zone {
			l = append(l, m.Web)
		}
	}
	e := standin.Call(ctx, l[i%len(l)], standin.Ask{Sort: standin.Sort{Path: d.path, LeftMs: 4000, Pieces: 3},
		Job: fmt.Sprintf("drill-%d-%d", standin.Now(), i), Prompt: fmt.Sprintf("drill %d", i)}, "")
	return e.Status == 200 && e.Whole
}

func (d *Drill) take(out bool) error {
	if d.Method == "evacuate" {
		f := &Fleet{procs: map[string]*proc{"core": {kind: "controller", web: d.ControllerAddr}}}
		for _, m := range d.members {
			if m.Role == "controller" {
				f.procs[m.Node] = &proc{kind: "controller", web: m.Web}
			}
		}
		_, err := f.WriteKey("/v1/zones/"+d.Zone, fmt.Appendf(nil, `{"evacuated":%v}`, out), 10*time.Second)
		return err
	}
	verb := map[bool]string{true: "killzone", false: "startzone"}[out]
	code, b, _, err := transport.HTTPRequest("GET", d.HarnessAddr, "/harness?event="+url.QueryEscape(verb+":"+d.Zone), nil, nil, 30*time.Second)
	if err == nil && code != 200 {
		err = fmt.Errorf("drill: the harness says %s", b)
	}
	return err
}

// giveBack gives the zone back, by any controller that it knows; if none takes it, it says loudly what stands.
func (d *Drill) giveBack() error {
	err := d.take(false)
	if err == nil {
		fmt.Fprintf(d.Output, "zone %s is given back\n", d.Zone)
		return nil
	}
	stands, how := "EVACUATED", "controller readmit --at ADDRESS "+d.Zone+", and confirm the plan"
	if d.Method == "kill" {
		stands, how = "DOWN", "start its processes"
	}
	fmt.Fprintf(d.Output, "zone %s MAY STILL BE %s: %s\n", d.Zone, stands, how)
	return fmt.Errorf("drill: zone %s could not be given back: %w", d.Zone, err)
}

// Run does the drill. The findings say what was seen; the error, why there was none.
func (d *Drill) Run(ctx context.Context) (l []checker.Finding, err error) {
	if err := d.ready(); err != nil {
		return nil, err
	}
	before, err := d.config()
	if err != nil {
		return nil, err
	}
	began := standin.Now()
	back := false
	defer func() {
		if !back {
			err = errors.Join(err, d.giveBack())
		}
	}()
	if err := d.take(true); err != nil {
		return nil, err // it may stand all the same
	}
	d.note("evacuate")
	out := time.Now()
	fmt.Fprintf(d.Output, "zone %s is out\n", d.Zone)
	at5, sent, good := -1, 0, 0
	for i := 0; time.Since(out) < d.Duration && ctx.Err() == nil; i++ {
		if at5 < 0 && time.Since(out) >= 5*time.Second {
			at5 = d.handed()
		}
		sent++
		if d.probe(ctx, i) {
			good++
		}
		_ = sleep(ctx, time.Now().Add(100*time.Millisecond))
	}
	after := d.handed()
	back = true
	d.note("readmit")
	if err := d.giveBack(); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, errors.New("drill: interrupted; the zone was given back, and nothing was judged")
	}
	if d.Method == "evacuate" {
		l = append(l, checker.Finding{Invariant: "the zone gets nothing new after 5 s", Holds: at5 >= 0 && after == at5,
			Detail: fmt.Sprintf("%d hand-overs into it between 5 s and the end", after-at5)})
	}
	l = append(l, checker.Finding{Invariant: "the other zones serve on", Holds: sent > 0 && good*100 >= sent*95, Detail: fmt.Sprintf("%d of %d probes answered whole", good, sent)})
	whole := "not within 20 s"
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); _ = sleep(ctx, time.Now().Add(250*time.Millisecond)) {
		if d.ready() == nil {
			whole = fmt.Sprintf("after %.1f s", 20-time.Until(end).Seconds())
			break
		}
	}
	l = append(l, checker.Finding{Invariant: "the fleet is whole again", Holds: whole[0] == 'a', Detail: whole})
	if now, err := d.config(); err != nil || now != before {
		l = append(l, checker.Finding{Invariant: checker.ConfigReadBack, Detail: fmt.Sprintf("it was %s, now %s %v", before, now, err)})
	} else {
		l = append(l, checker.Finding{Invariant: checker.ConfigReadBack, Holds: true, Detail: "the same number and bytes as before the drill"})
	}
	if d.JournalDir != "" {
		more, err := d.judge(began)
		return append(l, more...), err
	}
	return l, nil
}
