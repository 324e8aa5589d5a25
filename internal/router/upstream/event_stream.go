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

	buffer    []byte // what is kept, behind what was given out last
	delivered int    // how much of rest was given out
	lineStart int    // where its first line begins that is not read yet
	scanned   int    // up to where no end of that line is
	err       error
	current   event
}

// event is the event that is being read.
type event struct {
	id      []byte
	hasID   bool
	hasData bool
	isEnd   bool
}

// Append appends b and gives the whole events that are now complete; they are valid until the next call and no longer
// than b itself. An error is for good: the stream's ids don't rise, or one event is too large.
func (e *EventStream) Append(b []byte) (out []byte, err error) {
	if e.err != nil {
		return nil, e.err
	}
	kept := len(e.buffer) - e.delivered
	buf := b
	if kept > 0 {
		if e.delivered > 0 {
			copy(e.buffer, e.buffer[e.delivered:])
		}
		e.buffer = append(e.buffer[:kept], b...)
		buf = e.buffer
	}
	e.delivered = 0
	completeEnd := 0
	for e.err == nil {
		i := bytes.IndexByte(buf[e.scanned:], '\n')
		if i < 0 {
			e.scanned = len(buf)
			if e.scanned-completeEnd > MaxEventBytes {
				e.err = fmt.Errorf("upstream: an event of more than %d bytes", MaxEventBytes)
			}
			break
		}
		line := bytes.TrimSuffix(buf[e.lineStart:e.scanned+i], []byte("\r"))
		e.scanned += i + 1
		e.lineStart = e.scanned
		if len(line) > 0 {
			e.current.parseField(line)
			continue
		}
		if e.err = e.endEvent(e.scanned - completeEnd); e.err == nil {
			completeEnd = e.scanned
		}
	}
	if kept > 0 {
		e.delivered = completeEnd
	} else {
		e.buffer = append(e.buffer[:0], buf[completeEnd:]...)
	}
	e.lineStart -= completeEnd
	e.scanned -= completeEnd
	return buf[:completeEnd], e.err
}

// PendingBytes gives how many bytes are kept of an event that is not whole yet.
func (e *EventStream) PendingBytes() int { return len(e.buffer) - e.delivered }

// parseField reads one line of an event.
func (v *event) parseField(l []byte) {
	name, value, _ := bytes.Cut(l, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		v.id, v.hasID = append(v.id[:0], value...), true
	case "data":
		v.hasData = true
		v.isEnd = v.isEnd || string(value) == "[DONE]"
	case "event":
		v.isEnd = v.isEnd || string(value) == "end" || string(value) == "done"
	}
}

// endEvent ends the event of so many bytes.
func (e *EventStream) endEvent(size int) error {
	v := e.current
	e.current = event{id: v.id[:0]}
	if size > MaxEventBytes {
		return fmt.Errorf("upstream: an event of %d bytes", size)
	}
	if v.hasID {
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
	if v.hasID || v.hasData {
		e.Count++
		e.Ended = v.isEnd
		e.HasEventWithoutID = e.HasEventWithoutID || v.hasData && !v.hasID
	}
	return nil
}
