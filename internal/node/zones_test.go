package node

import (
	"strings"
	"testing"

	"seamshunt/internal/cluster/configpush"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/settings"
)

// TestZoneMetrics checks that the metrics have each zone's state with its version, and no other values.
func TestZoneMetrics(t *testing.T) {
	b := New(&settings.Settings{Name: "n"}, 1, membership.Router)
	b.Feed.Apply(configpush.Item{Key: "config", Version: 3, Data: []byte(`{}`)})
	b.Feed.Apply(configpush.Item{Key: ZonePrefix + "z1", Version: 4, Data: []byte(`{"evacuated":true}`)})
	b.Feed.Apply(configpush.Item{Key: ZonePrefix + "z2", Version: 2, Data: []byte(`{"evacuated":false}`)})
	var out strings.Builder
	b.WriteZoneMetrics(&out)
	want := `seamshunt_zone_evacuated{zone="z1"} 1
seamshunt_zone_number{zone="z1"} 4
seamshunt_zone_evacuated{zone="z2"} 0
seamshunt_zone_number{zone="z2"} 2
`
	if out.String() != want {
		t.Errorf("%s", out.String())
	}
}
