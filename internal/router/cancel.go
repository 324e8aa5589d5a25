package router

import (
	"errors"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/clientwatch"
	"seamshunt/internal/units"
)

// cancelledAs looks whether a request is cancelled, and gives the code of the reason; 0 while somebody waits for it.
func cancelledAs(client *clientwatch.Request) resultcode.Code {
	switch err := client.Check(); {
	case err == nil:
		return 0
	case errors.Is(err, clientwatch.ErrRouterShutdown):
		return resultcode.Draining
	default:
		return resultcode.ClientDisconnected
	}
}

// over lets go of a client whose request began at a time and stood at a stage; nothing may be under way for it any more.
func (v *Router) over(client *clientwatch.Request, at stage, begun units.Time, whole bool) {
	if !whole && errors.Is(client.Check(), clientwatch.ErrClientDisconnected) {
		v.clientLeft(at, v.Tasks.Now().Sub(begun))
	}
	client.End()
	v.inFlight.Add(-1)
}
