//go:build review

package main

import (
	"encoding/json"
	"errors"
	"os"

	"seamshunt/platform/standin"
)

// settings writes a program's settings file.
func (f *fleet) settings(m standin.Machine, program string, first bool) (string, error) {
	path, err := f.site.Settings(f.dir, m, program, first)
	if err != nil || f.memory == 0 {
		return path, err
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return path, err
	}
	var all map[string]any
	if err := json.Unmarshal(b, &all); err != nil {
		return path, err
	}
	limits, ok := all["limits"].(map[string]any)
	if !ok {
		return path, errors.New("settings without limits")
	}
	limits["memory_mb"] = f.memory
	return path, os.WriteFile(path, jsonOf(all), 0o644)
}
