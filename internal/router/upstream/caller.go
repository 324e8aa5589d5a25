package upstream

import "context"

// Caller is whoever waits for an answer. Its context is cancelled once nobody does, with the reason as its cause: then no
// request is sent, and waits for an answer end.
type Caller interface {
	context.Context
	// Check looks now whether somebody still waits, and gives the cause if not. It is called right before the first byte of
	// a request leaves, since a context alone may be behind.
	Check() error
}
