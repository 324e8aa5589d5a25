package router

import (
	"errors"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/clientwatch"
	"seamshunt/internal/units"
)

// cancellationCode returns the code for the reason that a request is cancelled, or 0 if it is not.
func cancellationCode(client *clientwatch.Request) resultcode.Code {
	switch err := client.Check(); {
	case err == nil:
		return 0
	case errors.Is(err, clientwatch.ErrRouterShutdown):
		return resultcode.Draining
	default:
		return resultcode.ClientDisconnected
	}
}

// finishRequest releases the client of a request and records it as disconnected if it left before a complete answer. No
// work for the request may be left.
func (v *Router) finishRequest(client *clientwatch.Request, at stage, startedAt units.Time, complete bool) {
	if !complete && errors.Is(client.Check(), clientwatch.ErrClientDisconnected) {
		v.recordDisconnect(at, v.Tasks.Now().Sub(startedAt))
	}
	client.End()
	v.inFlight.Add(-1)
}
