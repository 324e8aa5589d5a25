package checker

import (
	"fmt"
	"time"

	"seamshunt/internal/standin"
)

// A request that reaches a worker later than abandonedSlack after its client disconnected should not have been dispatched.
// A few are tolerated: requests that were in transit, and entries that a busy machine recorded late.
const (
	abandonedSlack       = 500 * time.Millisecond
	maxAbandonedArrivals = 3
)

// checkAbandoned goes by the time at which a request arrived at a worker, whether the worker ran or rejected it.
func (r *Run) checkAbandoned(calls map[string]standin.Entry) Finding {
	var bad []string
	abandoned := 0
	for _, c := range calls {
		if c.Fault == standin.FaultClientDisconnected {
			abandoned++
		}
	}
	for _, arrivals := range [][]standin.Entry{r.Starts, r.Rejections} {
		for _, a := range arrivals {
			c, known := calls[a.Job]
			if !known || c.Fault != standin.FaultClientDisconnected || a.ArrivedAt == 0 {
				continue
			}
			if delay := a.ArrivedAt - c.End; delay > abandonedSlack.Microseconds() {
				bad = append(bad, fmt.Sprintf("%s by %s reached %s %s after its caller left", a.Job, c.Router, a.Worker, ms(delay)))
			}
		}
	}
	if len(bad) <= maxAbandonedArrivals {
		bad = nil
	}
	return newFinding(NoAbandonedRequests, bad, fmt.Sprintf("%d callers left", abandoned))
}
