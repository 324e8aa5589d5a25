package forecast

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"seamshunt/internal/synop"
)

// Read takes an operator's bytes to a compiled configuration, or to all its faults.
func Read(b []byte) (*Config, []*synop.Fault) {
	var f faults
	if len(b) > MaxConfig {
		f.add(synop.ConfigLarge, "", fmt.Sprintf("%d bytes; the most is %d", len(b), MaxConfig))
		return nil, f.list
	}
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		f.add(synop.BadConfig, place(b), err.Error())
		return nil, f.list
	}
	c := &Config{Services: map[string]*Service{}, Promises: map[string]*Promise{}}
	o := object(v, "$", &f, "services", "promises", "layout")
	if o == nil {
		return nil, f.list
	}
	for i, x := range array(v, "$", "services", &f) {
		c.readService(x, fmt.Sprintf("$.services[%d]", i), &f)
	}
	for i, x := range array(v, "$", "promises", &f) {
		c.readPromise(x, fmt.Sprintf("$.promises[%d]", i), &f)
	}
	text, ok := layout(v.Get("layout"))
	if !ok {
		f.add(synop.BadConfig, "$.layout", "a text or a list of lines is wanted")
		return nil, f.list
	}
	c.parse(text, &f)
	if len(f.list) == 0 {
		c.compile(&f)
	}
	if len(f.list) > 0 {
		return nil, f.list
	}
	return c, nil
}

// place finds the line and column of a JSON fault.
func place(b []byte) string {
	var se *json.SyntaxError
	var x any
	if err := json.Unmarshal(b, &x); !errors.As(err, &se) {
		return ""
	}
	at := min(int(se.Offset), len(b))
	line := 1 + strings.Count(string(b[:at]), "\n")
	col := at - strings.LastIndexByte(string(b[:at]), '\n')
	return fmt.Sprintf("line %d column %d", line, col)
}

func layout(v *fastjson.Value) (string, bool) {
	if v == nil {
		return "", false
	}
	if v.Type() == fastjson.TypeString {
		return string(v.GetStringBytes()), true
	}
	l, err := v.Array()
	if err != nil {
		return "", false
	}
	var lines []string
	for _, x := range l {
		s, err := x.StringBytes()
		if err != nil {
			return "", false
		}
		lines = append(lines, string(s))
	}
	return strings.Join(lines, "\n"), true
}

// object checks that v is one and holds nothing but the names given, each once.
func object(v *fastjson.Value, at string, f *faults, names ...string) *fastjson.Object {
	o, err := v.Object()
	if err != nil {
		f.add(synop.BadConfig, at, "an object is wanted")
		return nil
	}
	seen := map[string]bool{}
	o.Visit(func(k []byte, _ *fastjson.Value) {
		n := string(k)
		if !slices.Contains(names, n) {
			f.add(synop.BadConfig, at+"."+n, "unknown field")
		}
		if seen[n] {
			f.add(synop.Duplicate, at+"."+n, "field given twice")
		}
		seen[n] = true
	})
	return o
}

func array(v *fastjson.Value, at, name string, f *faults) []*fastjson.Value {
	x := v.Get(name)
	if x == nil {
		f.add(synop.BadConfig, at+"."+name, "missing")
		return nil
	}
	l, err := x.Array()
	if err != nil {
		f.add(synop.BadConfig, at+"."+name, "a list is wanted")
	}
	return l
}

func text(v *fastjson.Value, at, name, def string, f *faults) string {
	x := v.Get(name)
	if x == nil {
		if def == "" {
			f.add(synop.BadConfig, at+"."+name, "missing")
		}
		return def
	}
	s, err := x.StringBytes()
	if err != nil || len(s) == 0 || len(s) > 200 {
		f.add(synop.BadConfig, at+"."+name, "a text of 1 to 200 bytes is wanted")
		return def
	}
	return string(s)
}

func number(v *fastjson.Value, at, name string, def, least, most int, c synop.Code, f *faults) int {
	x := v.Get(name)
	if x == nil {
		if def < least {
			f.add(c, at+"."+name, "missing")
		}
		return def
	}
	n, err := x.Int()
	if err != nil || n < least || n > most {
		f.add(c, at+"."+name, fmt.Sprintf("a whole number from %d to %d is wanted", least, most))
		return def
	}
	return n
}

func flag(v *fastjson.Value, at, name string, f *faults) bool {
	x := v.Get(name)
	if x == nil {
		return false
	}
	b, err := x.Bool()
	if err != nil {
		f.add(synop.BadConfig, at+"."+name, "true or false is wanted")
	}
	return b
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *Config) readService(v *fastjson.Value, at string, f *faults) {
	if object(v, at, f, "name", "pool", "cap", "waitlist", "warm_ms", "allow", "place", "prefix_bytes", "spread",
		"adapt", "floor", "wait_aim_ms", "retry_after_ms", "jitter_ms", "first_ms") == nil {
		return
	}
	s := &Service{Name: text(v, at, "name", "", f), Pool: text(v, at, "pool", "", f)}
	s.Cap = number(v, at, "cap", 0, 1, 10000, synop.BadCap, f)
	s.Waitlist = number(v, at, "waitlist", max(1, 2*s.Cap), 1, 100000, synop.BadCap, f)
	s.Warm = ms(number(v, at, "warm_ms", 5000, 0, 600000, synop.BadConfig, f))
	s.Allow = text(v, at, "allow", "knee", f)
	s.Place = text(v, at, "place", "prefix", f)
	s.Prefix = number(v, at, "prefix_bytes", 1024, 16, 1<<20, synop.BadConfig, f)
	s.Spread = number(v, at, "spread", 4, 1, 1000, synop.BadConfig, f)
	s.Adapt = flag(v, at, "adapt", f)
	s.Floor = number(v, at, "floor", max(1, s.Cap/2), 1, 10000, synop.BadCap, f)
	s.WaitAim = ms(number(v, at, "wait_aim_ms", 100, 1, 60000, synop.BadConfig, f))
	s.RetryAfter = ms(number(v, at, "retry_after_ms", 500, 1, 600000, synop.BadConfig, f))
	s.Jitter = ms(number(v, at, "jitter_ms", 1000, 0, 600000, synop.BadConfig, f))
	s.First = ms(number(v, at, "first_ms", 160, 1, 600000, synop.BadConfig, f))
	if s.Floor > s.Cap && s.Cap > 0 {
		f.add(synop.BadCap, at+".floor", "the floor is above the cap")
	}
	if !slices.Contains(allowNames(), s.Allow) {
		f.add(synop.BadConfig, at+".allow", "unknown policy "+s.Allow)
	}
	if !slices.Contains(placeNames(), s.Place) {
		f.add(synop.BadConfig, at+".place", "unknown policy "+s.Place)
	}
	if c.Services[s.Name] != nil {
		f.add(synop.Duplicate, at+".name", "service "+s.Name+" given twice")
	}
	for _, x := range c.Services {
		if x.Pool == s.Pool {
			f.add(synop.Duplicate, at+".pool", "pool "+s.Pool+" already serves "+x.Name)
		}
	}
	c.Services[s.Name] = s
}

func (c *Config) readPromise(v *fastjson.Value, at string, f *faults) {
	if object(v, at, f, "name", "first_ms", "deadline_ms", "smaller", "worth") == nil {
		return
	}
	p := &Promise{Name: text(v, at, "name", "", f)}
	p.First = ms(number(v, at, "first_ms", 0, 1, 600000, synop.BadConfig, f))
	p.Longest = ms(number(v, at, "deadline_ms", 0, 1, 600000, synop.BadConfig, f))
	p.Smaller = flag(v, at, "smaller", f)
	p.Worth = number(v, at, "worth", 1, 0, 1000, synop.BadConfig, f)
	if p.First > p.Longest {
		f.add(synop.BadConfig, at+".first_ms", "first words are promised later than the longest wait")
	}
	if c.Promises[p.Name] != nil {
		f.add(synop.Duplicate, at+".name", "promise "+p.Name+" given twice")
	}
	c.Promises[p.Name] = p
}
