package simulator

import (
	"strings"
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

// A configuration that uses every option of the layout: requests run under it without violations.
func TestFullLayout(t *testing.T) {
	text := strings.NewReplacer(`"cap":4,`, `"slots":true,"place":"home","memory":50000,"share":80,"reads":90,"pairs_us":200,"warm_rate":50,"conns":64,"lax":true,`,
		`{"services":[`, `{"version":3,"limits":{"body_bytes":65536},"services":[{"name":"other","pool":"side","cap":2},`,
		`to advice promise p6 repeat`, `to advice 90, other 10 promise p6 repeat tries 2 rank 1 stream resume pause 400`,
		`when path = \"/v1/notice\" to advice promise p4 once`, `when host = \"a\" and under = \"/v1/notice\" to advice promise p4 once single`).Replace(configText(1))
	c, faults := config.Parse([]byte(text))
	if len(faults) > 0 || c.Services["advice"].MemoryTokens != 50000 || c.Services["advice"].Capacity != 0 ||
		len(c.Mappings[0].Split) != 2 || !c.Mappings[1].Single {
		t.Fatal(faults, text)
	}
	w := NewWorld(Vatuloa, *firstSeed)
	w.At(units.Time(3*time.Second), func() { w.change("config", text, nil) })
	w.At(units.Time(8*time.Second), w.GenerateLoad)
	w.At(units.Time(12*time.Second), func() { w.restart(w.controllerHosts[1], 2*time.Second, true) })
	w.Run(units.Time(25 * time.Second))
	w.checkFinalState()
	if len(w.acknowledged) == 0 || w.Stats.Runs < 100 || len(w.Violations) > 0 {
		t.Errorf("%d acknowledged, %d runs, %v", len(w.acknowledged), w.Stats.Runs, w.Violations[:min(3, len(w.Violations))])
	}
}
