package node

import (
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fastjson"

	"seamshunt/internal/cluster/message"
)

// ZonePrefix is the prefix of the keys of zone states.
const ZonePrefix = "zone/"

// ZoneEvacuated reports whether a zone's state is evacuated.
func ZoneEvacuated(state []byte) bool { return fastjson.GetBool(state, "evacuated") }

// WriteZoneMetrics writes each zone's state as known to this process, in the Prometheus text format.
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
