package config

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Worker is one back end as the platform lists it.
type Worker struct {
	ID           string
	Addr         string
	Zone         string
	Draining     bool
	Age          time.Duration // how long it ran when listed; short ones are still warming
	Service      string        // the service that it serves, where one list holds several
	Slots        int           // requests that it works on at once, if the list says so
	WarmingUpFor time.Duration // how much longer it stays cold, as listed
	Incarnation  uint64        // grows whenever it is seen to have started again; none of the platform's
}

// ParseWorkers reads the platform's list of a pool.
func ParseWorkers(b []byte) ([]Worker, error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, fmt.Errorf("config: worker list: %w", err)
	}
	x := v.Get("workers")
	if x == nil || x.Type() != fastjson.TypeArray {
		return nil, errors.New("config: worker list: no workers in it")
	}
	var l []Worker
	seen := map[string]bool{}
	for i, w := range x.GetArray() {
		y := Worker{ID: string(w.GetStringBytes("id")), Addr: string(w.GetStringBytes("addr")), Zone: string(w.GetStringBytes("zone")),
			Draining: w.GetBool("leaving"), Age: time.Duration(w.GetInt64("age_ms")) * time.Millisecond, Incarnation: w.GetUint64("life"),
			Service: string(w.GetStringBytes("service")), Slots: w.GetInt("slots"), WarmingUpFor: time.Duration(w.GetInt64("cold_ms")) * time.Millisecond}
		if y.ID == "" || y.Addr == "" || seen[y.ID] {
			return nil, fmt.Errorf("config: worker list: entry %d lacks its id or address, or stands twice", i)
		}
		seen[y.ID] = true
		l = append(l, y)
	}
	return l, nil
}

// MarshalWorkers writes a list as the platform does.
func MarshalWorkers(l []Worker) []byte { return WorkersValue(&fastjson.Arena{}, l).MarshalTo(nil) }

// WorkersValue lays a list out.
func WorkersValue(a *fastjson.Arena, l []Worker) *fastjson.Value {
	arr := a.NewArray()
	for i, w := range l {
		o := a.NewObject()
		o.Set("id", a.NewString(w.ID))
		o.Set("addr", a.NewString(w.Addr))
		o.Set("zone", a.NewString(w.Zone))
		if w.Draining {
			o.Set("leaving", a.NewTrue())
		}
		o.Set("age_ms", a.NewNumberInt(int(w.Age.Milliseconds())))
		if w.Service != "" {
			o.Set("service", a.NewString(w.Service))
		}
		if w.Slots > 0 {
			o.Set("slots", a.NewNumberInt(w.Slots))
		}
		if w.WarmingUpFor > 0 {
			o.Set("cold_ms", a.NewNumberInt(int(w.WarmingUpFor.Milliseconds())))
		}
		if w.Incarnation > 0 {
			o.Set("life", a.NewNumberString(strconv.FormatUint(w.Incarnation, 10)))
		}
		arr.SetArrayItem(i, o)
	}
	o := a.NewObject()
	o.Set("workers", arr)
	return o
}
