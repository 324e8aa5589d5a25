package upstream

import (
	"bytes"
	"fmt"
	"strconv"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 1 << 20

// EventStream follows a text/event-stream as its bytes go by, and passes on whole events only: so a stream that broke can
// go on at another worker behind the last whole one (design 8). An event ends with a blank line.
type EventStream struct {
	LastID            string // the id of the last whole event; when set before the first, that one's must be above it
	Count             int    // whole events that bore an id or data
	HasEventWithoutID bool   // one of them bore data and no id: behind it nobody can go on exactly
	Ended             bool   // the last of them says that it is the end, as some streams do

	rest []byte // what is kept, behind what was given out last
	out  int    // how much of rest was given out
	line int    // where its first line begins that is not read yet
	seen int    // up to where no end of that line is
	err  error
	ev   event
}

// event is the event that is being read.
type event struct {
	id    []byte
	named bool
	data  bool
	end   bool
}

// Append appends b and gives the whole events that are now complete; they are valid until the next call and no longer
// than b itself. An error is for good: the stream's ids don't rise, or one event is too large.
func (e *EventStream) Append(b []byte) (out []byte, err error) {
	if e.err != nil {
		return nil, e.err
	}
	kept := len(e.rest) - e.out
	buf := b
	if kept > 0 {
		if e.out > 0 {
			copy(e.rest, e.rest[e.out:])
		}
		e.rest = append(e.rest[:kept], b...)
		buf = e.rest
	}
	e.out = 0
	whole := 0
	for e.err == nil {
		i := bytes.IndexByte(buf[e.seen:], '\n')
		if i < 0 {
			e.seen = len(buf)
			if e.seen-whole > MaxEventBytes {
				e.err = fmt.Errorf("upstream: an event of more than %d bytes", MaxEventBytes)
			}
			break
		}
		l := bytes.TrimSuffix(buf[e.line:e.seen+i], []byte("\r"))
		e.seen += i + 1
		e.line = e.seen
		if len(l) > 0 {
			e.ev.field(l)
			continue
		}
		if e.err = e.close(e.seen - whole); e.err == nil {
			whole = e.seen
		}
	}
	if kept > 0 {
		e.out = whole
	} else {
		e.rest = append(e.rest[:0], buf[whole:]...)
	}
	e.line -= whole
	e.seen -= whole
	return buf[:whole], e.err
}

// PendingBytes gives how many bytes are kept of an event that is not whole yet.
func (e *EventStream) PendingBytes() int { return len(e.rest) - e.out }

// field reads one line of an event.
func (v *event) field(l []byte) {
	name, value, _ := bytes.Cut(l, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		v.id, v.named = append(v.id[:0], value...), true
	case "data":
		v.data = true
		v.end = v.end || string(value) == "[DONE]"
	case "event":
		v.end = v.end || string(value) == "end" || string(value) == "done"
	}
}

// close ends the event of so many bytes.
func (e *EventStream) close(size int) error {
	v := e.ev
	e.ev = event{id: v.id[:0]}
	if size > MaxEventBytes {
		return fmt.Errorf("upstream: an event of %d bytes", size)
	}
	if v.named {
		id, err := strconv.ParseUint(string(v.id), 10, 64)
		if err != nil {
			return fmt.Errorf("upstream: an event's id %q is no number", v.id)
		}
		if e.LastID != "" {
			if last, err := strconv.ParseUint(e.LastID, 10, 64); err != nil || id <= last {
				return fmt.Errorf("upstream: event %d behind event %s", id, e.LastID)
			}
		}
		e.LastID = string(v.id)
	}
	if v.named || v.data {
		e.Count++
		e.Ended = v.end
		e.HasEventWithoutID = e.HasEventWithoutID || v.data && !v.named
	}
	return nil
}
