package upstream

import "context"

// Caller is the party that waits for an answer, such as a client's request. Its context is cancelled once it no longer
// waits, with the reason as the cause. Then no request is sent any more, and waits for an answer end.
type Caller interface {
	context.Context
	// Check checks now whether the caller still waits, and returns the cause if not. It is called right before the first
	// byte of a request is sent, since the context may be cancelled late.
	Check() error
}
