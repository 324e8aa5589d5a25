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

// Parse parses and compiles an operator's configuration document. If it has faults, Parse returns them instead.
func Parse(b []byte) (*Config, []*resultcode.Fault) {
	var faults faultList
	if len(b) > MaxConfigBytes {
		faults.add(resultcode.ConfigTooLarge, "", fmt.Sprintf("%d bytes; the most is %d", len(b), MaxConfigBytes))
		return nil, faults.list
	}
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		faults.add(resultcode.InvalidConfig, syntaxErrorPosition(b), err.Error())
		return nil, faults.list
	}
	c := &Config{Services: map[string]*Service{}, Promises: map[string]*Promise{}}
	document := checkObject(v, "$", &faults, "version", "limits", "services", "promises", "layout")
	if document == nil {
		return nil, faults.list
	}
	c.parseVersion(v, &faults)
	c.parseLimits(v.Get("limits"), "$.limits", &faults)
	for i, x := range getArray(v, "$", "services", &faults) {
		c.parseService(x, fmt.Sprintf("$.services[%d]", i), &faults)
	}
	for i, x := range getArray(v, "$", "promises", &faults) {
		c.parsePromise(x, fmt.Sprintf("$.promises[%d]", i), &faults)
	}
	layout, ok := layoutText(v.Get("layout"))
	if !ok {
		faults.add(resultcode.InvalidConfig, "$.layout", "a text or a list of lines is wanted")
		return nil, faults.list
	}
	c.parseLayout(layout, &faults)
	if len(faults.list) == 0 {
		c.compile(&faults)
	}
	if len(faults.list) > 0 {
		return nil, faults.list
	}
	return c, nil
}

// syntaxErrorPosition returns the line and column of a JSON syntax error, which fastjson doesn't report.
func syntaxErrorPosition(b []byte) string {
	var syntaxErr *json.SyntaxError
	var ignored any
	if err := json.Unmarshal(b, &ignored); !errors.As(err, &syntaxErr) {
		return ""
	}
	offset := min(int(syntaxErr.Offset), len(b))
	line := 1 + strings.Count(string(b[:offset]), "\n")
	col := offset - strings.LastIndexByte(string(b[:offset]), '\n')
	return fmt.Sprintf("line %d column %d", line, col)
}

func layoutText(v *fastjson.Value) (string, bool) {
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

// checkObject checks that v is an object without fields other than those named and without duplicate fields.
func checkObject(v *fastjson.Value, path string, faults *faultList, names ...string) *fastjson.Object {
	o, err := v.Object()
	if err != nil {
		faults.add(resultcode.InvalidConfig, path, "an object is wanted")
		return nil
	}
	seen := map[string]bool{}
	o.Visit(func(k []byte, _ *fastjson.Value) {
		name := string(k)
		if !slices.Contains(names, name) {
			faults.add(resultcode.InvalidConfig, path+"."+name, "unknown field")
		}
		if seen[name] {
			faults.add(resultcode.Duplicate, path+"."+name, "field given twice")
		}
		seen[name] = true
	})
	return o
}

func getArray(v *fastjson.Value, path, name string, faults *faultList) []*fastjson.Value {
	x := v.Get(name)
	if x == nil {
		faults.add(resultcode.InvalidConfig, path+"."+name, "missing")
		return nil
	}
	l, err := x.Array()
	if err != nil {
		faults.add(resultcode.InvalidConfig, path+"."+name, "a list is wanted")
	}
	return l
}

func getString(v *fastjson.Value, path, name, defaultValue string, faults *faultList) string {
	x := v.Get(name)
	if x == nil {
		if defaultValue == "" {
			faults.add(resultcode.InvalidConfig, path+"."+name, "missing")
		}
		return defaultValue
	}
	s, err := x.StringBytes()
	if err != nil || len(s) == 0 || len(s) > 200 {
		faults.add(resultcode.InvalidConfig, path+"."+name, "a text of 1 to 200 bytes is wanted")
		return defaultValue
	}
	return string(s)
}

func getInt(v *fastjson.Value, path, name string, defaultValue, minValue, maxValue int, code resultcode.Code,
	faults *faultList) int {
	x := v.Get(name)
	if x == nil {
		if defaultValue < minValue {
			faults.add(code, path+"."+name, "missing")
		}
		return defaultValue
	}
	n, err := x.Int()
	if err != nil || n < minValue || n > maxValue {
		faults.add(code, path+"."+name, fmt.Sprintf("a whole number from %d to %d is wanted", minValue, maxValue))
		return defaultValue
	}
	return n
}

// getFloat returns a number that may have a fraction, or 0 if the field is missing.
func getFloat(v *fastjson.Value, path, name string, maxValue float64, faults *faultList) float64 {
	x := v.Get(name)
	if x == nil {
		return 0
	}
	n, err := x.Float64()
	if err != nil || !(n >= 0 && n <= maxValue) {
		faults.add(resultcode.InvalidConfig, path+"."+name, fmt.Sprintf("a number from 0 to %g is wanted", maxValue))
		return 0
	}
	return n
}

func getBool(v *fastjson.Value, path, name string, faults *faultList) bool {
	x := v.Get(name)
	if x == nil {
		return false
	}
	b, err := x.Bool()
	if err != nil {
		faults.add(resultcode.InvalidConfig, path+"."+name, "true or false is wanted")
	}
	return b
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
