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

// metrics answers with Prometheus text.
func (c *Controller) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	c.writeQuorumMetrics(ctx)
	c.writePlatformMetrics(ctx)
	c.WriteZoneMetrics(ctx)
	c.zoneOrders.write(ctx)
	writeMetric(ctx, "abandoned_orders_total", c.abandonedOrders.Load())
	c.writeDiskMetrics(ctx, c.Tasks.Now())
	writeMetric(ctx, "bad_frames_total", c.Transport.BadFrames.Load())
	writeMetric(ctx, "bad_notes_total", c.Errors.Load())
	writeMetric(ctx, "dropped_notes_total", c.DroppedMessages.Load())
	writeMetric(ctx, "audit_missed_total", c.missed.Load())
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
	c.polled.mu.Lock()
	defer c.polled.mu.Unlock()
	writeMetric(w, "platform_answers_total", c.polled.ok)
	writeMetric(w, "platform_failures_total", c.polled.bad)
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

// zoneOrders counts operators' orders for zones by their result.
type zoneOrders struct {
	mu     sync.Mutex
	byCode map[resultcode.Code]uint64
}

func (z *zoneOrders) count(code resultcode.Code) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.byCode == nil {
		z.byCode = map[resultcode.Code]uint64{}
	}
	z.byCode[code]++
}

// write gives Prometheus text.
func (z *zoneOrders) write(w io.Writer) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, code := range message.SortedKeys(z.byCode) {
		fmt.Fprintf(w, "seamshunt_zone_orders_total{code=\"%d\"} %d\n", code, z.byCode[code])
	}
}
