package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

const keyConfig = "config"

// serve handles operators' HTTP requests (docs/operators.md).
func (c *Controller) serve(ctx *fasthttp.RequestCtx) {
	if c.refuseAbandoned(ctx) {
		return
	}
	path, method := string(ctx.Path()), string(ctx.Method())
	zone, isZone := strings.CutPrefix(path, "/v1/zones/")
	switch {
	case path == "/healthz":
		ctx.SetBodyString("up\n")
	case path == "/status":
		c.serveStatus(ctx)
	case path == "/metrics":
		c.serveMetrics(ctx)
	case path == "/v1/config" && method == "GET":
		c.serveRead(ctx, keyConfig)
	case path == "/v1/config" && method == "PUT":
		c.servePutConfig(ctx)
	case path == "/v1/promises" && method == "GET":
		c.servePromises(ctx)
	case path == "/v1/plan" && method == "POST":
		c.servePlan(ctx)
	case path == "/v1/confirm" && method == "POST":
		c.serveConfirm(ctx)
	case isZone && method == "GET":
		c.serveRead(ctx, "zone/"+zone)
	case isZone && method == "PUT":
		c.servePutZone(ctx, zone)
	case c.adapterHandler != nil && !strings.HasPrefix(path, "/v1/"):
		c.adapterHandler(ctx)
	default:
		c.respondFaults(ctx, &resultcode.Fault{Code: resultcode.NotFound, Text: method + " " + path + " means nothing here"})
	}
}

// respondFaults responds with all given faults. The code of the first one determines the HTTP status.
func (c *Controller) respondFaults(ctx *fasthttp.RequestCtx, faults ...*resultcode.Fault) {
	var a fastjson.Arena
	list := a.NewArray()
	for i, fault := range faults {
		item := a.NewObject()
		item.Set("code", a.NewNumberInt(int(fault.Code)))
		if fault.Place != "" {
			item.Set("place", a.NewString(fault.Place))
		}
		item.Set("text", a.NewString(fault.Text))
		list.SetArrayItem(i, item)
	}
	doc := a.NewObject()
	doc.Set("code", a.NewNumberInt(int(faults[0].Code)))
	doc.Set("faults", list)
	ctx.SetStatusCode(faults[0].Code.Status())
	ctx.SetContentType("application/json")
	ctx.SetBody(append(doc.MarshalTo(nil), '\n'))
}

var faultTexts = map[resultcode.Code]string{
	resultcode.VersionConflict:      "another change came first: read, and plan again",
	resultcode.CommitUnknown:        "the outcome is not known: send the same plan again to learn it",
	resultcode.OutcomeExpired:       "so many changes came since that the outcome is no longer kept: read what is in force",
	resultcode.NoMajority:           "no majority of the disks answers; nothing was written by this call",
	resultcode.DiskFull:             "the disks are full; nothing was written by this call",
	resultcode.OperatorDisconnected: "the caller had closed its connection before the order was begun; nothing was done",
}

func (c *Controller) respond(ctx *fasthttp.RequestCtx, result register.Result) {
	if result.Code != resultcode.OK {
		fault := &resultcode.Fault{Code: result.Code, Text: faultTexts[result.Code]}
		if result.Code == resultcode.VersionConflict {
			fault.Place = fmt.Sprintf("number %d", result.Version)
		}
		c.respondFaults(ctx, fault)
		return
	}
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("code", a.NewNumberInt(int(result.Code)))
	o.Set("number", a.NewNumberInt(int(result.Version)))
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// serveRead responds with the exact bytes of the newest acknowledged value, confirmed by a majority.
func (c *Controller) serveRead(ctx *fasthttp.RequestCtx, key string) {
	callCtx, cancel := withAnswerTimeout(register.RequestTimeout)
	defer cancel()
	result := c.Submit(callCtx, register.Request{Key: key})
	if result.Code != resultcode.OK {
		c.respond(ctx, result)
		return
	}
	if result.Version == 0 {
		c.respondFaults(ctx, &resultcode.Fault{Code: resultcode.NotFound, Text: "nothing was ever set here"})
		return
	}
	ctx.Response.Header.Set("Number", strconv.FormatUint(uint64(result.Version), 10))
	ctx.SetContentType("application/json")
	ctx.SetBody(result.Data)
}

// planRequestID returns the request ID of a change that has a Plan-Id header. It includes a hash of the body, so that an
// ID that is reused with another body isn't taken for the first change.
func planRequestID(ctx *fasthttp.RequestCtx, body []byte) string {
	id := string(ctx.Request.Header.Peek("Plan-Id"))
	if id == "" {
		return ""
	}
	sum := sha256.Sum256(body)
	return id + "." + hex.EncodeToString(sum[:8])
}

// expectedVersion reads the stored version that a change builds on.
func (c *Controller) expectedVersion(ctx *fasthttp.RequestCtx) (units.Version, bool) {
	text := string(ctx.QueryArgs().Peek("number"))
	version, err := strconv.ParseUint(text, 10, 62)
	if err != nil {
		c.respondFaults(ctx, &resultcode.Fault{Code: resultcode.InvalidOperation, Place: "?number=", Text: "the number that the change builds on is wanted; 0 for the first"})
		return 0, false
	}
	return units.Version(version), true
}

// servePutConfig changes the configuration without a plan, for automated clients. The same checks apply as for a plan.
func (c *Controller) servePutConfig(ctx *fasthttp.RequestCtx) {
	expected, ok := c.expectedVersion(ctx)
	if !ok {
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	if _, faults := c.parseConfig(body); len(faults) > 0 {
		c.respondFaults(ctx, faults...)
		return
	}
	callCtx, cancel := withAnswerTimeout(register.RequestTimeout)
	defer cancel()
	c.writeAndRespond(callCtx, ctx, register.Request{Key: keyConfig, ExpectedVersion: expected, RequestID: planRequestID(ctx, body), Data: body})
}

// servePutZone evacuates a zone or readmits it.
func (c *Controller) servePutZone(ctx *fasthttp.RequestCtx, zone string) {
	expected, ok := c.expectedVersion(ctx)
	if !ok {
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	callCtx, cancel := withAnswerTimeout(register.RequestTimeout)
	defer cancel()
	if fault := c.checkZone(callCtx, zone, body); fault != nil {
		c.respondFaults(ctx, fault)
		return
	}
	c.writeAndRespond(callCtx, ctx, register.Request{Key: "zone/" + zone, ExpectedVersion: expected, RequestID: planRequestID(ctx, body), Data: body})
}

func (c *Controller) checkZone(ctx context.Context, zone string, body []byte) *resultcode.Fault {
	switch code := c.checkZoneExists(ctx, zone); code {
	case resultcode.OK:
	case resultcode.UnknownZone:
		return &resultcode.Fault{Code: code, Text: "no member is in zone " + zone}
	default:
		return &resultcode.Fault{Code: code, Text: faultTexts[code]}
	}
	doc, err := fastjson.ParseBytes(body)
	if err != nil {
		return &resultcode.Fault{Code: resultcode.InvalidOperation, Place: errorPlace(err), Text: `{"evacuated": true} or false is wanted`}
	}
	evacuated := doc.Get("evacuated")
	if evacuated == nil || evacuated.Type() != fastjson.TypeTrue && evacuated.Type() != fastjson.TypeFalse {
		return &resultcode.Fault{Code: resultcode.InvalidOperation, Place: "$.evacuated", Text: "true or false is wanted"}
	}
	return nil
}

func errorPlace(err error) string { return strings.TrimSpace(err.Error()) }
