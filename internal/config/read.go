package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"seamshunt/internal/resultcode"
)

// Parse takes an operator's bytes to a compiled configuration, or to all its faults.
func Parse(b []byte) (*Config, []*resultcode.Fault) {
	var f faults
	if len(b) > MaxConfigBytes {
		f.add(resultcode.ConfigTooLarge, "", fmt.Sprintf("%d bytes; the most is %d", len(b), MaxConfigBytes))
		return nil, f.list
	}
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		f.add(resultcode.InvalidConfig, place(b), err.Error())
		return nil, f.list
	}
	c := &Config{Services: map[string]*Service{}, Promises: map[string]*Promise{}}
	o := object(v, "$", &f, "version", "limits", "services", "promises", "layout")
	if o == nil {
		return nil, f.list
	}
	c.readVersion(v, &f)
	c.readLimits(v.Get("limits"), "$.limits", &f)
	for i, x := range array(v, "$", "services", &f) {
		c.readService(x, fmt.Sprintf("$.services[%d]", i), &f)
	}
	for i, x := range array(v, "$", "promises", &f) {
		c.readPromise(x, fmt.Sprintf("$.promises[%d]", i), &f)
	}
	text, ok := layout(v.Get("layout"))
	if !ok {
		f.add(resultcode.InvalidConfig, "$.layout", "a text or a list of lines is wanted")
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
		f.add(resultcode.InvalidConfig, at, "an object is wanted")
		return nil
	}
	seen := map[string]bool{}
	o.Visit(func(k []byte, _ *fastjson.Value) {
		n := string(k)
		if !slices.Contains(names, n) {
			f.add(resultcode.InvalidConfig, at+"."+n, "unknown field")
		}
		if seen[n] {
			f.add(resultcode.Duplicate, at+"."+n, "field given twice")
		}
		seen[n] = true
	})
	return o
}

func array(v *fastjson.Value, at, name string, f *faults) []*fastjson.Value {
	x := v.Get(name)
	if x == nil {
		f.add(resultcode.InvalidConfig, at+"."+name, "missing")
		return nil
	}
	l, err := x.Array()
	if err != nil {
		f.add(resultcode.InvalidConfig, at+"."+name, "a list is wanted")
	}
	return l
}

func text(v *fastjson.Value, at, name, def string, f *faults) string {
	x := v.Get(name)
	if x == nil {
		if def == "" {
			f.add(resultcode.InvalidConfig, at+"."+name, "missing")
		}
		return def
	}
	s, err := x.StringBytes()
	if err != nil || len(s) == 0 || len(s) > 200 {
		f.add(resultcode.InvalidConfig, at+"."+name, "a text of 1 to 200 bytes is wanted")
		return def
	}
	return string(s)
}

func number(v *fastjson.Value, at, name string, def, least, most int, c resultcode.Code, f *faults) int {
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

// decimal reads a number that may have a fraction; 0 where none is given.
func decimal(v *fastjson.Value, at, name string, most float64, f *faults) float64 {
	x := v.Get(name)
	if x == nil {
		return 0
	}
	n, err := x.Float64()
	if err != nil || !(n >= 0 && n <= most) {
		f.add(resultcode.InvalidConfig, at+"."+name, fmt.Sprintf("a number from 0 to %g is wanted", most))
		return 0
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
		f.add(resultcode.InvalidConfig, at+"."+name, "true or false is wanted")
	}
	return b
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
