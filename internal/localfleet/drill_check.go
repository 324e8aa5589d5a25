package localfleet

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"seamshunt/internal/checker"
	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/standin"
	"seamshunt/internal/units"
)

// readConfig returns a fingerprint of the configuration in force.
func (d *Drill) readConfig() (string, error) {
	code, b, version, err := transport.HTTPRequest("GET", d.ControllerAddr, "/v1/config", nil, nil, 8*time.Second)
	if err != nil || code != 200 {
		return "", fmt.Errorf("drill: no configuration can be read: %d %v", code, err)
	}
	return fmt.Sprintf("%s/%x", version, units.Mix(string(b))), nil
}

// recordEvacuation records an evacuation in a local run's journals, so that the workers' entries are checked against it.
func (d *Drill) recordEvacuation(how string) {
	if d.JournalDir == "" || d.Method != "evacuate" {
		return
	}
	if j, err := standin.OpenJournal(filepath.Join(d.JournalDir, "drill.jsonl")); err == nil {
		j.Write(standin.Entry{Kind: "event", At: standin.Now(), How: how, Target: d.Zone})
		j.Close()
	}
}

// checkJournals checks a local run's journals from the start of the drill on.
func (d *Drill) checkJournals(from int64) ([]checker.Finding, error) {
	r, err := checker.Load(d.JournalDir)
	if err != nil {
		return nil, err
	}
	r.Calls = slices.DeleteFunc(r.Calls, func(c standin.Entry) bool { return c.At < from })
	u := checker.DefaultRules()
	u.NonRepeatable["notice"] = true
	var l []checker.Finding
	for _, f := range r.Check(u) {
		// The drill has no deployment file, and reads the configuration back itself.
		if f.Invariant != checker.AllowedServices && f.Invariant != checker.ConfigReadBack {
			l = append(l, f)
		}
	}
	return l, nil
}
