package controller

import (
	"context"
	"time"

	"seamshunt/internal/control/changelog"
)

// auditEntry is one acknowledged change on its way into the audit record.
type auditEntry struct {
	record changelog.Entry
	done   chan struct{}
}

// auditWait is how long an acknowledgement waits for its audit entry: a stalled disk must not hold up a change that a
// majority has stored. The entry is still written, in order, when the disk recovers (docs/design.md, section 10).
const auditWait = 150 * time.Millisecond

// appendAudit queues an entry and waits for auditWait at most. An entry that can't be recorded is counted; it doesn't
// change the result of the change, which is in force already.
func (c *Controller) appendAudit(ctx context.Context, record changelog.Entry) {
	entry := auditEntry{record: record, done: make(chan struct{})}
	select {
	case c.auditQueue <- entry:
	default:
		c.auditMissed.Add(1)
		return
	}
	timer := time.NewTimer(auditWait)
	defer timer.Stop()
	select {
	case <-entry.done:
	case <-timer.C:
	case <-ctx.Done(): // the call's deadline has passed
	}
}

// auditLoop is the only user of the audit record. It opens the record at the first entry, since a failing disk may block
// that.
func (c *Controller) auditLoop() {
	var auditLog *changelog.Log
	for {
		select {
		case <-c.Tasks.Stopped():
			if auditLog != nil {
				auditLog.Close()
			}
			return
		case entry := <-c.auditQueue:
			var err error
			if auditLog == nil {
				auditLog, err = changelog.Open(c.Settings.DataDir, c.Settings.Name)
			}
			if err == nil {
				err = auditLog.Append(entry.record)
			}
			if err != nil {
				if auditLog != nil { // a file can't be used after a failed sync: the next entry reopens it
					auditLog.Close()
				}
				auditLog = nil
				c.auditMissed.Add(1)
				c.Log.WithError(err).Error("an acknowledged change is missing from the audit record")
			}
			close(entry.done)
		}
	}
}
