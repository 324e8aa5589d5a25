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

// serve is the operators' door (docs/operators.md).
func (c *Controller) serve(ctx *fasthttp.RequestCtx) {
	if c.abandoned(ctx) {
		return
	}
	path, m := string(ctx.Path()), string(ctx.Method())
	zone, isZone := strings.CutPrefix(path, "/v1/zones/")
	switch {
	case path == "/healthz":
		ctx.SetBodyString("up\n")
	case path == "/status":
		c.status(ctx)
	case path == "/metrics":
		c.metrics(ctx)
	case path == "/v1/config" && m == "GET":
		c.read(ctx, keyConfig)
	case path == "/v1/config" && m == "PUT":
		c.apply(ctx)
	case path == "/v1/promises" && m == "GET":
		c.promises(ctx)
	case path == "/v1/plan" && m == "POST":
		c.propose(ctx)
	case path == "/v1/confirm" && m == "POST":
		c.confirm(ctx)
	case isZone && m == "GET":
		c.read(ctx, "zone/"+zone)
	case isZone && m == "PUT":
		c.zone(ctx, zone)
	case c.door != nil && !strings.HasPrefix(path, "/v1/"):
		c.door(ctx)
	default:
		c.fail(ctx, &resultcode.Fault{Code: resultcode.NotFound, Text: m + " " + path + " means nothing here"})
	}
}

// fail answers with all faults found; the first one's code gives the status.
func (c *Controller) fail(ctx *fasthttp.RequestCtx, fs ...*resultcode.Fault) {
	var a fastjson.Arena
	l := a.NewArray()
	for i, f := range fs {
		o := a.NewObject()
		o.Set("code", a.NewNumberInt(int(f.Code)))
		if f.Place != "" {
			o.Set("place", a.NewString(f.Place))
		}
		o.Set("text", a.NewString(f.Text))
		l.SetArrayItem(i, o)
	}
	o := a.NewObject()
	o.Set("code", a.NewNumberInt(int(fs[0].Code)))
	o.Set("faults", l)
	ctx.SetStatusCode(fs[0].Code.Status())
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

var texts = map[resultcode.Code]string{
	resultcode.VersionConflict:      "another change came first: read, and plan again",
	resultcode.CommitUnknown:        "the outcome is not known: send the same plan again to learn it",
	resultcode.OutcomeExpired:       "so many changes came since that the outcome is no longer kept: read what is in force",
	resultcode.NoMajority:           "no majority of the disks answers; nothing was written by this call",
	resultcode.DiskFull:             "the disks are full; nothing was written by this call",
	resultcode.OperatorDisconnected: "the caller had closed its connection before the order was begun; nothing was done",
}

func (c *Controller) result(ctx *fasthttp.RequestCtx, r register.Result) {
	if r.Code != resultcode.OK {
		f := &resultcode.Fault{Code: r.Code, Text: texts[r.Code]}
		if r.Code == resultcode.VersionConflict {
			f.Place = fmt.Sprintf("number %d", r.Version)
		}
		c.fail(ctx, f)
		return
	}
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("code", a.NewNumberInt(int(r.Code)))
	o.Set("number", a.NewNumberInt(int(r.Version)))
	ctx.SetContentType("application/json")
	ctx.SetBody(append(o.MarshalTo(nil), '\n'))
}

// read gives the exact bytes of the newest acknowledged value, confirmed with a majority.
func (c *Controller) read(ctx *fasthttp.RequestCtx, key string) {
	within, done := answerTime(register.RequestTimeout)
	defer done()
	r := c.Submit(within, register.Request{Key: key})
	if r.Code != resultcode.OK {
		c.result(ctx, r)
		return
	}
	if r.Version == 0 {
		c.fail(ctx, &resultcode.Fault{Code: resultcode.NotFound, Text: "nothing was ever set here"})
		return
	}
	ctx.Response.Header.Set("Number", strconv.FormatUint(uint64(r.Version), 10))
	ctx.SetContentType("application/json")
	ctx.SetBody(r.Data)
}

// operatorsID is the request id of a change that bears a Plan-Id of its sender's own. It covers the body, so that an id
// which is used again for another body does not pass for the change that it was used for first.
func operatorsID(ctx *fasthttp.RequestCtx, body []byte) string {
	id := string(ctx.Request.Header.Peek("Plan-Id"))
	if id == "" {
		return ""
	}
	sum := sha256.Sum256(body)
	return id + "." + hex.EncodeToString(sum[:8])
}

// expect reads the number that a change builds on.
func (c *Controller) expect(ctx *fasthttp.RequestCtx) (units.Version, bool) {
	s := string(ctx.QueryArgs().Peek("number"))
	n, err := strconv.ParseUint(s, 10, 62)
	if err != nil {
		c.fail(ctx, &resultcode.Fault{Code: resultcode.InvalidOperation, Place: "?number=", Text: "the number that the change builds on is wanted; 0 for the first"})
		return 0, false
	}
	return units.Version(n), true
}

// apply is the direct way for machines, under the same check as a plan.
func (c *Controller) apply(ctx *fasthttp.RequestCtx) {
	num, ok := c.expect(ctx)
	if !ok {
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	if _, fs := c.compile(body); len(fs) > 0 {
		c.fail(ctx, fs...)
		return
	}
	within, done := answerTime(register.RequestTimeout)
	defer done()
	c.change(within, ctx, register.Request{Key: keyConfig, ExpectedVersion: num, RequestID: operatorsID(ctx, body), Data: body})
}

// zone evacuates a zone or takes the evacuation back.
func (c *Controller) zone(ctx *fasthttp.RequestCtx, zone string) {
	num, ok := c.expect(ctx)
	if !ok {
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	within, done := answerTime(register.RequestTimeout)
	defer done()
	if f := c.checkZone(within, zone, body); f != nil {
		c.fail(ctx, f)
		return
	}
	c.change(within, ctx, register.Request{Key: "zone/" + zone, ExpectedVersion: num, RequestID: operatorsID(ctx, body), Data: body})
}

func (c *Controller) checkZone(ctx context.Context, zone string, body []byte) *resultcode.Fault {
	switch code := c.checkZoneExists(ctx, zone); code {
	case resultcode.OK:
	case resultcode.UnknownZone:
		return &resultcode.Fault{Code: code, Text: "no member is in zone " + zone}
	default:
		return &resultcode.Fault{Code: code, Text: texts[code]}
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return &resultcode.Fault{Code: resultcode.InvalidOperation, Place: place(err), Text: `{"evacuated": true} or false is wanted`}
	}
	x := v.Get("evacuated")
	if x == nil || x.Type() != fastjson.TypeTrue && x.Type() != fastjson.TypeFalse {
		return &resultcode.Fault{Code: resultcode.InvalidOperation, Place: "$.evacuated", Text: "true or false is wanted"}
	}
	return nil
}

func place(err error) string { return strings.TrimSpace(err.Error()) }
