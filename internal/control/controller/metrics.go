package controller

import (
	"fmt"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// serveMetrics responds in the Prometheus text format.
func (c *Controller) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	c.writeQuorumMetrics(ctx)
	c.writePlatformMetrics(ctx)
	c.WriteZoneMetrics(ctx)
	c.zoneRequests.write(ctx)
	writeMetric(ctx, "abandoned_orders_total", c.abandonedRequests.Load())
	c.writeDiskMetrics(ctx, c.Tasks.Now())
	writeMetric(ctx, "bad_frames_total", c.Transport.BadFrames.Load())
	writeMetric(ctx, "bad_notes_total", c.Errors.Load())
	writeMetric(ctx, "dropped_notes_total", c.DroppedMessages.Load())
	writeMetric(ctx, "audit_missed_total", c.auditMissed.Load())
}

// writeMetric writes one metric without labels.
func writeMetric(w io.Writer, name string, value uint64) {
	fmt.Fprintf(w, "seamshunt_%s %d\n", name, value)
}

func (c *Controller) writeQuorumMetrics(w io.Writer) {
	c.replicaMu.Lock()
	defer c.replicaMu.Unlock()
	quorum := c.replica.Quorum()
	writeMetric(w, "claims_kept", uint64(c.claims.Len()))
	writeMetric(w, "voters", uint64(len(quorum.Members)))
	writeMetric(w, "voters_version", uint64(quorum.Version))
	writeMetric(w, "voters_fall_short", oneIf(len(c.shortfall.text) > 0))
}

func (c *Controller) writePlatformMetrics(w io.Writer) {
	c.pollStatus.mu.Lock()
	defer c.pollStatus.mu.Unlock()
	writeMetric(w, "platform_answers_total", c.pollStatus.successes)
	writeMetric(w, "platform_failures_total", c.pollStatus.failures)
}

func (c *Controller) writeDiskMetrics(w io.Writer, now units.Time) {
	unfit := c.disk.unfit(now)
	c.disk.mu.Lock()
	damaged := c.disk.damage != nil
	c.disk.mu.Unlock()
	writeMetric(w, "disk_damaged", oneIf(damaged))
	writeMetric(w, "disk_unfit", oneIf(unfit))
}

func oneIf(yes bool) uint64 {
	if yes {
		return 1
	}
	return 0
}

// zoneRequestCounts counts requests to evacuate or readmit zones by result code.
type zoneRequestCounts struct {
	mu     sync.Mutex
	byCode map[resultcode.Code]uint64
}

func (z *zoneRequestCounts) count(code resultcode.Code) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.byCode == nil {
		z.byCode = map[resultcode.Code]uint64{}
	}
	z.byCode[code]++
}

// write writes the counts in the Prometheus text format.
func (z *zoneRequestCounts) write(w io.Writer) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, code := range message.SortedKeys(z.byCode) {
		fmt.Fprintf(w, "seamshunt_zone_orders_total{code=\"%d\"} %d\n", code, z.byCode[code])
	}
}
