package checker

import (
	"fmt"
	"time"

	"seamshunt/internal/standin"
)

// A request that reaches a worker later than attendedSlack after its caller left was sent on for nobody. A few of them are
// borne: what was on its way, and what a busy machine noted late.
const (
	attendedSlack = 500 * time.Millisecond
	attendedMost  = 3
)

// attended judges by when requests arrived at workers, whether these ran them or turned them away.
func (r *Run) attended(calls map[string]standin.Entry) Finding {
	var bad []string
	left := 0
	for _, c := range calls {
		if c.Fault == standin.Left {
			left++
		}
	}
	for _, arrivals := range [][]standin.Entry{r.Starts, r.Rejections} {
		for _, a := range arrivals {
			c, known := calls[a.Job]
			if !known || c.Fault != standin.Left || a.Came == 0 {
				continue
			}
			if late := a.Came - c.End; late > attendedSlack.Microseconds() {
				bad = append(bad, fmt.Sprintf("%s by %s reached %s %s after its caller left", a.Job, c.Router, a.Worker, ms(late)))
			}
		}
	}
	if len(bad) <= attendedMost {
		bad = nil
	}
	return find(NoAbandonedRequests, bad, fmt.Sprintf("%d callers left", left))
}
