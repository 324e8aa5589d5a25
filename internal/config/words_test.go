package config

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// every says all that the configuration and its layout have words for.
const every = `{"version": 7,
"limits": {"head_bytes": 4096, "body_bytes": 65536, "head_ms": 3000, "idle_ms": 15000},
"services": [
 {"name": "big", "pool": "main", "slots": true, "place": "home", "memory": 654078, "share": 80, "reads": 90, "pairs_us": 250, "warm_ms": 3000,
  "warm_rate": 2.5, "conns": 640, "lax": true},
 {"name": "small", "pool": "side", "cap": 8},
 {"name": "spare", "pool": "rest", "slots": true, "waitlist": 9, "memory": 1000}],
"promises": [{"name": "p", "first_ms": 100, "deadline_ms": 4000, "smaller": true}],
"layout": ["mapping chat { when host = \"A.example\" and under = \"/chat\" to big 90, small 10, spare 0 step spare",
 " promise p repeat tries 2 rank 1 stream resume pause 400 }",
 "mapping rest { when host = \"a.example\" and under = \"/\" to big promise p once single }",
 "mapping any { when under = \"/chat\" to small 1 promise p once }"]}`

func TestWords(t *testing.T) {
	c, fs := Parse([]byte(every))
	if len(fs) > 0 {
		t.Fatal(fs)
	}
	if want := (Limits{4096, 65536, 3 * time.Second, 15 * time.Second}); c.Version != 7 || c.Limits != want {
		t.Errorf("version %d, limits %+v", c.Version, c.Limits)
	}
	big := Service{Name: "big", Pool: "main", PlacementPolicy: "home", MemoryTokens: 654078, MemoryShare: 0.8, PrefillRate: 90, AttentionCost: 0.25, WarmUp: 3 * time.Second, WarmUpRate: 2.5,
		MaxConns: 640, QuickTakeover: true, AdmissionPolicy: "knee", PrefixBytes: 1024, PreferredCount: 4, MinCapacity: 1, TargetWait: 100 * time.Millisecond,
		RetryAfter: 500 * time.Millisecond, RetryJitter: time.Second, FirstTokenTime: 160 * time.Millisecond}
	if !reflect.DeepEqual(*c.Services["big"], big) {
		t.Errorf("big is\n%+v, want\n%+v", *c.Services["big"], big)
	}
	usual := Service{MemoryTokens: 1000}
	SetDefaults(&usual)
	if s := c.Services["spare"]; s.MemoryShare != 0.85 || s.PrefillRate != usual.PrefillRate || s.AttentionCost != usual.AttentionCost || s.MaxWaiting != 9 || s.QuickTakeover || s.PlacementPolicy != "prefix" {
		t.Errorf("spare is %+v", *s)
	}
	m := c.Mappings[0]
	if m.MaxWorkers != 2 || m.Rank != 1 || !m.Stream || !m.Resume || m.MaxEventGap != 400*time.Millisecond || m.Once || m.Single || m.FallbackService != "spare" ||
		!reflect.DeepEqual(m.Split, []Target{{"big", 90}, {"small", 10}, {"spare", 0}}) {
		t.Errorf("chat is %+v", *m)
	}
	if m := c.Mappings[2]; m.Split != nil || m.Services[0] != "small" {
		t.Errorf("any is %+v", *m)
	}
	for _, x := range []struct{ host, path, want, steps string }{
		{"a.example", "/chat", "chat", "limit share try spare refuse"},
		{"a.example", "/chat/x", "chat", "limit share try spare refuse"},
		{"a.example", "/chatter", "rest", "limit try big refuse"},
		{"a.example", "/", "rest", "limit try big refuse"},
		{"b.example", "/chat/x", "any", "limit claim try small refuse"},
		{"b.example", "/x", "", ""},
	} {
		do, ok := c.Program.Find(routing.Request{Host: x.host, Path: x.path, Header: func(string) string { return "" }})
		if !ok {
			if x.want != "" {
				t.Errorf("%v: nothing takes it", x)
			}
			continue
		}
		if m := c.Mappings[do[0].Mapping].Name; m != x.want || strings.Join(steps(do), " ") != x.steps {
			t.Errorf("%v: %s does %v", x, m, steps(do))
		}
	}
}

// steps walks a way to its end.
func steps(do []routing.Action) (l []string) {
	note := func(s ...string) bool { l = append(l, s...); return false }
	routing.Run(do, routing.Handlers{
		Deadline: func(int) bool { return note("limit") },
		Claim:    func() bool { return note("claim") },
		Split:    func() bool { return note("share") },
		Dispatch: func(s string) bool { return note("try", s) },
		Refuse:   func() { note("refuse") },
	})
	return l
}

// Where the worker list tells the slots, they are the cap and the waitlist goes by them.
func TestSlots(t *testing.T) {
	c, fs := Parse([]byte(every))
	if len(fs) > 0 {
		t.Fatal(fs)
	}
	ws := c.CapacityWorkers(map[string][]Worker{"main": {{ID: "w", Slots: 12}, {ID: "x"}}, "side": {{ID: "w", Slots: 12}}, "rest": {{ID: "w", Slots: 5}}},
		map[string]units.Time{}, nil)
	for n, want := range map[string][2]int{"big/w": {12, 24}, "big/x": {1, 2}, "small/w": {8, 16}, "spare/w": {5, 9}} {
		if w := ws[n]; w.Capacity != want[0] || w.MaxWaiting != want[1] {
			t.Errorf("%s: cap %d, waitlist %d, want %v", n, w.Capacity, w.MaxWaiting, want)
		}
	}
}

func TestFaultsOfWords(t *testing.T) {
	swap := func(a, b string) string {
		if !strings.Contains(every, a) {
			t.Fatalf("%q is not in it", a)
		}
		return strings.Replace(every, a, b, 1)
	}
	for _, x := range []struct {
		name, text string
		code       resultcode.Code
		place      string
	}{
		{"version 0", swap(`"version": 7`, `"version": 0`), resultcode.InvalidConfig, "$.version"},
		{"version no number", swap(`"version": 7`, `"version": "7"`), resultcode.InvalidConfig, "$.version"},
		{"limit 0", swap(`"head_bytes": 4096`, `"head_bytes": 0`), resultcode.InvalidConfig, "$.limits.head_bytes"},
		{"unknown limit", swap(`"idle_ms"`, `"idle"`), resultcode.InvalidConfig, "$.limits.idle"},
		{"limits a list", swap(`{"head_bytes": 4096, "body_bytes": 65536, "head_ms": 3000, "idle_ms": 15000}`, `[]`), resultcode.InvalidConfig, "$.limits"},
		{"cap and slots", swap(`"slots": true, "place"`, `"slots": true, "cap": 4, "place"`), resultcode.InvalidCap, "$.services[0].cap"},
		{"neither", swap(`"slots": true, "place"`, `"slots": false, "place"`), resultcode.InvalidCap, "$.services[0].cap"},
		{"share 0", swap(`"share": 80`, `"share": 0`), resultcode.InvalidConfig, "$.services[0].share"},
		{"share 101", swap(`"share": 80`, `"share": 101`), resultcode.InvalidConfig, "$.services[0].share"},
		{"reads without memory", swap(`"cap": 8`, `"cap": 8, "reads": 5`), resultcode.InvalidConfig, "$.services[1].reads"},
		{"rate below 0", swap(`"warm_rate": 2.5`, `"warm_rate": -1`), resultcode.InvalidConfig, "$.services[0].warm_rate"},
		{"conns no number", swap(`"conns": 640`, `"conns": true`), resultcode.InvalidConfig, "$.services[0].conns"},
		{"lax no flag", swap(`"lax": true`, `"lax": 1`), resultcode.InvalidConfig, "$.services[0].lax"},
		{"shares sum to 0", swap(`big 90, small 10`, `big 0, small 0`), resultcode.InvalidRule, "layout line 1 column 60"},
		{"one share missing", swap(`small 10`, `small`), resultcode.InvalidRule, "layout line 1 column 60"},
		{"a share twice", swap(`small 10`, `big 10`), resultcode.Duplicate, "layout line 1 column 71"},
		{"share no number", swap(`big 90`, `big 9x`), resultcode.InvalidRule, "layout line 1 column 67"},
		{"step that shares", swap(`step spare`, `step small`), resultcode.StepNotAllowed, "layout line 1 column 9"},
		{"tries 0", swap(`tries 2`, `tries 0`), resultcode.InvalidRule, "layout line 2 column 25"},
		{"tries 10", swap(`tries 2`, `tries 10`), resultcode.InvalidRule, "layout line 2 column 25"},
		{"tries twice", swap(`tries 2`, `tries 2 tries 3`), resultcode.InvalidRule, "layout line 2 column 27"},
		{"rank 10", swap(`rank 1`, `rank 10`), resultcode.InvalidRule, "layout line 2 column 32"},
		{"resume without stream", swap(`stream resume pause 400`, `resume`), resultcode.InvalidRule, "layout line 2 column 34"},
		{"pause without stream", swap(`stream resume pause 400`, `pause 400`), resultcode.InvalidRule, "layout line 2 column 34"},
		{"resume of once", swap(`promise p repeat`, `promise p once`), resultcode.InvalidRule, "layout line 2 column 39"},
		{"pause without number", swap(`pause 400 }`, `pause }`), resultcode.InvalidRule, "layout line 2 column 54"},
		{"host with a port", swap(`a.example\" and under = \"/\"`, `a.example:80\" and under = \"/\"`), resultcode.InvalidRule, "layout line 3 column 28"},
		{"host empty", swap(`\"a.example\"`, `\"\"`), resultcode.InvalidRule, "layout line 3 column 28"},
		{"same host and prefix", swap(`under = \"/\"`, `under = \"/chat\"`), resultcode.Duplicate, "layout line 3 column 9"},
	} {
		c, fs := Parse([]byte(x.text))
		if c != nil || len(fs) == 0 {
			t.Errorf("%s: taken", x.name)
			continue
		}
		if fs[0].Code != x.code || fs[0].Place != x.place {
			t.Errorf("%s: %d at %q, want %d at %q (%s)", x.name, fs[0].Code, fs[0].Place, x.code, x.place, fs[0].Text)
		}
	}
}

// A plan names each of these by what it was and will be.
func TestPlanOfWords(t *testing.T) {
	old, _ := Parse([]byte(every))
	next, fs := Parse([]byte(strings.NewReplacer(`"version": 7`, `"version": 8`, "65536", "32768", `"share": 80`, `"share": 70`, "2.5", "3", "640", "320",
		"small 10", "small 20", "tries 2", "tries 3", " resume pause 400", "", "rest { when", `rest { when header \"X\" = \"y\" and`,
		"small 1 promise p once", "small 1 promise p once single").Replace(every)))
	if len(fs) > 0 {
		t.Fatal(fs)
	}
	p := Compare(old, next, func(string) int { return 2 })
	all := strings.Join(append(append(p.Changes, p.Ceilings...), p.Warnings...), "\n")
	for _, want := range []string{"version 7 to 8", "limits body_bytes 65536 to 32768", "service big: warm_rate 2.5 to 3, share 0.8 to 0.7, conns 640 to 320",
		"mapping chat changes: shares [{big 90} {small 10} {spare 0}] to [{big 90} {small 20} {spare 0}], tries 2 to 3, resume true to false, pause 400ms to 0s",
		`to header "x" = "y" and host = "a.example"`, "mapping any changes: single false to true", "mapping any claims nothing any more",
		"service big: per worker as many in flight as the worker list tells; 2 workers known; at most 457854 tokens"} {
		if !strings.Contains(all, want) {
			t.Errorf("the plan does not say %q:\n%s", want, all)
		}
	}
	if p := Compare(old, old, func(string) int { return 1 }); len(p.Changes) != 0 {
		t.Errorf("nothing changes, and yet %v", p.Changes)
	}
	seen := map[string]PromiseStats{"chat": {Requests: 9, RequestRate: 100, SlotTime: time.Second}}
	p = Plan{}
	p.AddForecast(nil, old, func(string) int { return 1 }, seen)
	if len(p.Warnings) != 1 || !strings.Contains(p.Warnings[0], "service small: what came in the last minute fills 10.0 slots, and there would be 8") {
		t.Errorf("%q", p.Warnings)
	}
}

// Reading never panics, and what compiles finds a way for a request that meets a mapping's conditions.
func FuzzRead(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(every))
	f.Add([]byte(strings.Replace(every, `\"/chat\"`, `\"/\"`, 1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, fs := Parse(b)
		if (c == nil) == (len(fs) == 0) {
			t.Fatalf("%v with %v", c, fs)
		}
		if c == nil {
			return
		}
		for _, m := range c.Mappings {
			a, ok := meets(m)
			if !ok {
				continue
			}
			if do, ok := c.Program.Find(a); !ok || len(do) == 0 || steps(do)[0] != "limit" {
				t.Fatalf("nothing takes %+v of %s", a, m.Name)
			}
		}
		Compare(nil, c, func(string) int { return 1 })
		Compare(c, c, func(string) int { return 1 })
		c.CapacityWorkers(nil, nil, nil)
	})
}

// meets makes up a request that meets all conditions; they may contradict one another.
func meets(m *Mapping) (routing.Request, bool) {
	a, heads := routing.Request{Host: "h.example", Path: "/"}, map[string]string{}
	a.Header = func(n string) string { return heads[n] }
	for _, x := range m.Conditions {
		switch x.Op {
		case routing.OpHost:
			a.Host = x.Text
		case routing.OpHeader:
			heads[x.Name] = x.Text
		case routing.OpPrefix, routing.OpPath:
			if len(x.Text) >= len(a.Path) {
				a.Path = x.Text
			}
		}
	}
	_, ok := routing.Build([]routing.Route{{Conditions: m.Conditions}}).Find(a)
	return a, ok
}
