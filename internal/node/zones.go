package node

import (
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/message"
)

// ZonePrefix begins the key of every zone's state among the numbered values.
const ZonePrefix = "zone/"

// ZoneEvacuated reads a zone's state.
func ZoneEvacuated(state []byte) bool { return fastjson.GetBool(state, "evacuated") }

// WriteZoneMetrics writes what this process holds of each zone's state, as Prometheus text.
func (t *Base) WriteZoneMetrics(w io.Writer) {
	t.FeedMu.Lock()
	defer t.FeedMu.Unlock()
	for _, key := range message.SortedKeys(t.Feed.Items) {
		zone, ok := strings.CutPrefix(key, ZonePrefix)
		if !ok {
			continue
		}
		item, evacuated := t.Feed.Items[key], 0
		if ZoneEvacuated(item.Data) {
			evacuated = 1
		}
		fmt.Fprintf(w, "seamshunt_zone_evacuated{zone=%q} %d\n", zone, evacuated)
		fmt.Fprintf(w, "seamshunt_zone_number{zone=%q} %d\n", zone, item.Version)
	}
}
