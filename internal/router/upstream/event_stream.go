package upstream

import (
	"bytes"
	"fmt"
	"strconv"
)

// MaxEventBytes limits the size of one event.
const MaxEventBytes = 1 << 20

// EventStream parses a text/event-stream as its bytes arrive and passes on only complete events, so that a stream that broke
// off can be resumed at another worker after the last complete event (docs/design.md, section 8). An event ends with a blank
// line.
type EventStream struct {
	LastID            string // id of the last complete event; if set beforehand, the first event's id must be greater
	Count             int    // complete events with an id or data
	HasEventWithoutID bool   // one of them had data but no id: the stream can't be resumed exactly after it
	Ended             bool   // the last of them marks the end of the stream, as some streams do

	buffer    []byte // bytes kept; the first delivered ones were returned by the last Append
	delivered int    // length of the part of buffer that the last Append returned
	lineStart int    // start of the first line in buffer that isn't parsed yet
	scanned   int    // that line has no end before this position
	err       error
	current   event
}

// event is the event that is being parsed.
type event struct {
	id      []byte
	hasID   bool
	hasData bool
	isEnd   bool
}

// Append appends b and returns the events that are now complete. The result is valid only until the next call and only as
// long as b itself. Errors are permanent: the stream's ids don't increase, or an event is too large.
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
				e.err = fmt.Errorf("upstream: event larger than %d bytes", MaxEventBytes)
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

// PendingBytes returns how many bytes of an incomplete event are kept.
func (e *EventStream) PendingBytes() int { return len(e.buffer) - e.delivered }

// parseField parses one line of an event.
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

// endEvent completes the current event, whose size is given in bytes.
func (e *EventStream) endEvent(size int) error {
	v := e.current
	e.current = event{id: v.id[:0]}
	if size > MaxEventBytes {
		return fmt.Errorf("upstream: event of %d bytes is too large", size)
	}
	if v.hasID {
		id, err := strconv.ParseUint(string(v.id), 10, 64)
		if err != nil {
			return fmt.Errorf("upstream: event id %q is not a number", v.id)
		}
		if e.LastID != "" {
			if last, err := strconv.ParseUint(e.LastID, 10, 64); err != nil || id <= last {
				return fmt.Errorf("upstream: event %d after event %s", id, e.LastID)
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
