package controller

import (
	"context"
	"time"

	"seamshunt/internal/control/changelog"
)

// entry is one acknowledged change on its way into the audit record.
type entry struct {
	leaf changelog.Entry
	done chan struct{}
}

// auditWait is how long an acknowledgement waits for its entry: a disk that stalls must not hold up a change that a
// majority has. The entry is still written, in its order, when the disk comes back (design 10).
const auditWait = 150 * time.Millisecond

// note hands an entry over and waits a little. One that can't be recorded is counted and never turns a change that
// stands into one that does not.
func (c *Controller) note(ctx context.Context, l changelog.Entry) {
	e := entry{leaf: l, done: make(chan struct{})}
	select {
	case c.audit <- e:
	default:
		c.missed.Add(1)
		return
	}
	t := time.NewTimer(auditWait)
	defer t.Stop()
	select {
	case <-e.done:
	case <-t.C:
	case <-ctx.Done(): // the answer's time is up
	}
}

// recorder is the record's only user. It opens it with the first entry, since a sick disk may hold that up.
func (c *Controller) recorder() {
	var l *changelog.Log
	for {
		select {
		case <-c.Tasks.Stopped():
			if l != nil {
				l.Close()
			}
			return
		case e := <-c.audit:
			var err error
			if l == nil {
				l, err = changelog.Open(c.Settings.DataDir, c.Settings.Name)
			}
			if err == nil {
				err = l.Append(e.leaf)
			}
			if err != nil {
				if l != nil { // a failed sync is final for its file: the next entry opens it anew
					l.Close()
				}
				l = nil
				c.missed.Add(1)
				c.Log.WithError(err).Error("an acknowledged change is not in the audit record")
			}
			close(e.done)
		}
	}
}
