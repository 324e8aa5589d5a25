package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"seamshunt/internal/config/routing"
	"seamshunt/internal/resultcode"
)

const good = `{"services": [
 {"name": "big", "pool": "main", "cap": 4},
 {"name": "small", "pool": "side", "cap": 8}],
"promises": [{"name": "p", "first_ms": 100, "deadline_ms": 4000, "smaller": true},
 {"name": "q", "first_ms": 100, "deadline_ms": 4000}],
"layout": ["mapping a {", " when path = \"/a\" and header \"X-Kind\" = \"long\"", " to big, small step small promise p once }",
 "mapping b { when under = \"/b\" to big promise q repeat }",
 "mapping c { when path = \"/a\" to big promise q repeat }"]}`

func TestExamplesAreGood(t *testing.T) {
	for _, p := range []string{"vatuloa", "council", "vatuloa-worth"} {
		b, err := os.ReadFile("../../deploy/" + p + "-config.json")
		if err != nil {
			t.Fatal(err)
		}
		if _, fs := Parse(b); len(fs) > 0 {
			t.Errorf("%s: %v", p, fs)
		}
	}
}

// The first mapping whose conditions all hold takes the request, and its steps are what the layout says.
func TestProgram(t *testing.T) {
	c, fs := Parse([]byte(good))
	if len(fs) > 0 {
		t.Fatal(fs)
	}
	for _, x := range []struct{ path, kind, want, steps string }{
		{"/a", "long", "a", "limit claim try big try small refuse"},
		{"/a", "", "c", "limit try big refuse"},
		{"/b/x", "long", "b", "limit try big refuse"},
		{"/b", "", "b", "limit try big refuse"},
		{"/bx", "", "", ""},
		{"/", "", "", ""},
	} {
		do, ok := c.Program.Find(routing.Request{Path: x.path, Header: func(string) string { return x.kind }})
		if !ok {
			if x.want != "" {
				t.Errorf("%v: nothing takes it", x)
			}
			continue
		}
		var steps []string
		routing.Run(do, routing.Handlers{
			Deadline: func(int) bool { steps = append(steps, "limit"); return false },
			Claim:    func() bool { steps = append(steps, "claim"); return false },
			Dispatch: func(s string) bool { steps = append(steps, "try", s); return false },
			Refuse:   func() { steps = append(steps, "refuse") },
		})
		if m := c.Mappings[do[0].Mapping].Name; m != x.want || strings.Join(steps, " ") != x.steps {
			t.Errorf("%v: %s does %v", x, m, steps)
		}
	}
}

// Every fault has its code and its place, and several are named at once.
func TestFaults(t *testing.T) {
	swap := func(a, b string) string {
		if !strings.Contains(good, a) {
			t.Fatalf("%q is not in the good one", a)
		}
		return strings.Replace(good, a, b, 1)
	}
	for _, x := range []struct {
		name, text string
		code       resultcode.Code
		place      string
	}{
		{"no JSON", `{"services": [`, resultcode.InvalidConfig, "line 1 column 15"},
		{"no object", `[]`, resultcode.InvalidConfig, "$"},
		{"unknown field", swap(`"cap": 4`, `"cap": 4, "kap": 1`), resultcode.InvalidConfig, "$.services[0].kap"},
		{"field twice", swap(`"cap": 4`, `"cap": 4, "cap": 5`), resultcode.Duplicate, "$.services[0].cap"},
		{"cap zero", swap(`"cap": 4`, `"cap": 0`), resultcode.InvalidCap, "$.services[0].cap"},
		{"cap missing", swap(`, "cap": 4`, ``), resultcode.InvalidCap, "$.services[0].cap"},
		{"floor above", swap(`"cap": 4`, `"cap": 4, "floor": 5`), resultcode.InvalidCap, "$.services[0].floor"},
		{"pool twice", swap(`"side"`, `"main"`), resultcode.Duplicate, "$.services[1].pool"},
		{"unknown policy", swap(`"cap": 4`, `"cap": 4, "allow": "all"`), resultcode.InvalidConfig, "$.services[0].allow"},
		{"late promise", swap(`"first_ms": 100`, `"first_ms": 9000`), resultcode.InvalidConfig, "$.promises[0].first_ms"},
		{"worth below 0", swap(`"first_ms": 100`, `"first_ms": 100, "worth": -1`), resultcode.InvalidConfig, "$.promises[0].worth"},
		{"worth no number", swap(`"first_ms": 100`, `"first_ms": 100, "worth": "much"`), resultcode.InvalidConfig, "$.promises[0].worth"},
		{"no layout", `{"services":[],"promises":[]}`, resultcode.InvalidConfig, "$.layout"},
		{"unknown service", swap("to big, small step", "to big, tiny step"), resultcode.UnknownService, "layout line 3 column 10"},
		{"unknown promise", swap("promise q repeat }\",\n \"mapping c", "promise z repeat }\",\n \"mapping c"), resultcode.InvalidRule, "layout line 4 column 46"},
		{"step not open", swap("to big, small step small", "to big step small"), resultcode.StepNotAllowed, "layout line 1 column 9"},
		{"no smaller", swap(`, "smaller": true`, ``), resultcode.StepNotAllowed, "layout line 1 column 9"},
		{"not said once", swap("promise p once", "promise p"), resultcode.InvalidRule, "layout line 1 column 9"},
		{"same name", swap("mapping b", "mapping a"), resultcode.Duplicate, "layout line 4 column 9"},
		{"same match", swap(`under = \"/b\"`, `path = \"/a\"`), resultcode.Duplicate, "layout line 5 column 9"},
		{"bad mark", swap("mapping b {", "mapping b ;"), resultcode.InvalidRule, "layout line 4 column 11"},
		{"open text", swap(`\"/b\" to`, `\"/b to`), resultcode.InvalidRule, "layout line 4 column 26"},
		{"no such clause", swap("mapping b { when", "mapping b { whence"), resultcode.InvalidRule, "layout line 4 column 13"},
		{"too large", good + strings.Repeat(" ", MaxConfigBytes), resultcode.ConfigTooLarge, ""},
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
	if _, fs := Parse([]byte(strings.NewReplacer(`"cap": 4`, `"cap": 0`, `"cap": 8`, `"cap": -1`).Replace(good))); len(fs) != 2 {
		t.Errorf("two faults are named as %v", fs)
	}
}

// many gives a configuration with n mappings.
func many(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"services":[{"name":"big","pool":"main","cap":4}],"promises":[{"name":"p","first_ms":100,"deadline_ms":4000}],"layout":"`)
	for i := range n {
		fmt.Fprintf(&b, `mapping m%d { when path = \"/m/%d\" to big promise p repeat }\n`, i, i)
	}
	b.WriteString(`"}`)
	return []byte(b.String())
}

// Thousands of mappings: finding the last one looks at no more ways than finding the first.
func TestManyMappings(t *testing.T) {
	c, fs := Parse(many(5000))
	if len(fs) > 0 {
		t.Fatal(fs[0])
	}
	asked := 0
	do, ok := c.Program.Find(routing.Request{Path: "/m/4999", Header: func(string) string { asked++; return "" }})
	if !ok || c.Mappings[do[0].Mapping].Name != "m4999" || asked != 0 {
		t.Errorf("found %v %v after %d looks at headers", ok, do, asked)
	}
}

func BenchmarkRead5000(b *testing.B) {
	x := many(5000)
	for b.Loop() {
		if _, fs := Parse(x); len(fs) > 0 {
			b.Fatal(fs[0])
		}
	}
}

// A plan names what changes, what it decides, and what to think twice about.
func TestPlan(t *testing.T) {
	old, _ := Parse([]byte(good))
	next, fs := Parse([]byte(strings.NewReplacer(`"cap": 4`, `"cap": 6`, "promise p once", "promise p repeat", "mapping b", "mapping d").Replace(good)))
	if len(fs) > 0 {
		t.Fatal(fs)
	}
	p := Compare(old, next, func(pool string) int { return map[string]int{"main": 18}[pool] })
	all := strings.Join(append(append(p.Changes, p.Ceilings...), p.Warnings...), "\n")
	for _, want := range []string{"cap 4 to 6", "waitlist 8 to 12", "mapping d is new", "mapping a changes", "1 new, 1 changed, 1 gone", "108 in flight",
		"pool side has no worker", "mapping a could not repeat and now may"} {
		if !strings.Contains(all, want) {
			t.Errorf("the plan does not say %q:\n%s", want, all)
		}
	}
	if p := Compare(old, old, func(string) int { return 1 }); len(p.Changes) != 0 {
		t.Errorf("nothing changes, and yet %v", p.Changes)
	}
}

// A plan says what was measured of each promise, and warns of one that is not kept or that the slots can't carry.
func TestForesee(t *testing.T) {
	c, fs := Parse([]byte(good))
	if len(fs) > 0 {
		t.Fatal(fs)
	}
	seen := map[string]PromiseStats{}
	for range 2 { // two nodes
		x := seen["a"]
		x.Add(PromiseStats{Promise: "p", Service: "big", Requests: 50, FirstTokenKept: 45, FirstTokenMissed: 5, OnTime: 48, Finished: 50, RequestRate: 20, SlotTime: time.Second, FirstTokenP95: 150 * time.Millisecond})
		seen["a"] = x
	}
	for workers, want := range map[int]int{10: 1, 9: 2} { // 40 slots are just enough
		var p Plan
		p.AddForecast(c, c, func(string) int { return workers }, seen)
		if len(p.Promises) != 1 || !strings.Contains(p.Promises[0], "90.0% of first words kept, 95 of 100 within 150ms, 96.0% on time") || len(p.Warnings) != want {
			t.Errorf("%d workers: %q", workers, p)
		}
	}
}
