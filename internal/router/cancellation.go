package router

import (
	"errors"

	"seamshunt/internal/codes"
	"seamshunt/internal/router/clientwatch"
	"seamshunt/internal/units"
)

// cancellationCode looks whether a request is cancelled, and gives the code of the reason; 0 while somebody waits for it.
func cancellationCode(client *clientwatch.Request) codes.Code {
	switch err := client.Look(); {
	case err == nil:
		return 0
	case errors.Is(err, clientwatch.ErrRouterEnds):
		return codes.Draining
	default:
		return codes.ClientLeft
	}
}

// finishRequest lets go of a client whose request began at a time and stood at a stage; nothing may be under way for it any more.
func (v *Router) finishRequest(client *clientwatch.Request, at stage, startedAt units.Time, complete bool) {
	if !complete && errors.Is(client.Look(), clientwatch.ErrClientLeft) {
		v.recordDisconnect(at, v.Tasks.Now().Sub(startedAt))
	}
	client.End()
	v.inFlight.Add(-1)
}
