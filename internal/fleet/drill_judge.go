package fleet

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/observer"
	"seamshunt/internal/standin"
	"seamshunt/internal/units"
)

// config reads the configuration in force, as a mark.
func (d *Drill) config() (string, error) {
	code, b, num, err := transport.HTTPRequest("GET", d.At, "/v1/config", nil, nil, 8*time.Second)
	if err != nil || code != 200 {
		return "", fmt.Errorf("drill: no configuration can be read: %d %v", code, err)
	}
	return fmt.Sprintf("%s/%x", num, units.Mix(string(b))), nil
}

// note writes an evacuation into a local run's journals, so that the workers' own entries are judged by it.
func (d *Drill) note(how string) {
	if d.Journal == "" || d.How != "evacuate" {
		return
	}
	if j, err := standin.Open(filepath.Join(d.Journal, "drill.jsonl")); err == nil {
		j.Write(standin.Entry{Kind: "event", At: standin.Now(), How: how, Target: d.Zone})
		j.Close()
	}
}

// judge looks at a local run's journals from the drill's beginning on.
func (d *Drill) judge(from int64) ([]observer.Finding, error) {
	r, err := observer.Load(d.Journal)
	if err != nil {
		return nil, err
	}
	r.Calls = slices.DeleteFunc(r.Calls, func(c standin.Entry) bool { return c.At < from })
	u := observer.DefaultRules()
	u.Once["notice"] = true
	var l []observer.Finding
	for _, f := range r.Judge(u) {
		// The drill knows no deployment file, and reads the configuration back itself.
		if f.Promise != observer.Services && f.Promise != observer.ReadBack {
			l = append(l, f)
		}
	}
	return l, nil
}
