package config

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Worker is one back end in the platform's list.
type Worker struct {
	ID           string
	Addr         string
	Zone         string
	Draining     bool
	Age          time.Duration // how long it had run when it was listed; a worker that started recently is still warming up
	Service      string        // the service that it serves, if the list has workers of several services
	Slots        int           // requests that it processes at once; 0 if the list doesn't contain it
	WarmingUpFor time.Duration // remaining warm-up time, as listed
	Incarnation  uint64        // incremented by the controllers at each restart of the worker; not in the platform's own list
}

// ParseWorkers parses the platform's worker list of a pool.
func ParseWorkers(b []byte) ([]Worker, error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, fmt.Errorf("config: worker list: %w", err)
	}
	list := v.Get("workers")
	if list == nil || list.Type() != fastjson.TypeArray {
		return nil, errors.New("config: worker list: no workers in it")
	}
	var workers []Worker
	seen := map[string]bool{}
	for i, entry := range list.GetArray() {
		worker := Worker{ID: string(entry.GetStringBytes("id")), Addr: string(entry.GetStringBytes("addr")),
			Zone: string(entry.GetStringBytes("zone")), Draining: entry.GetBool("leaving"),
			Age: time.Duration(entry.GetInt64("age_ms")) * time.Millisecond, Incarnation: entry.GetUint64("life"),
			Service: string(entry.GetStringBytes("service")), Slots: entry.GetInt("slots"),
			WarmingUpFor: time.Duration(entry.GetInt64("cold_ms")) * time.Millisecond}
		if worker.ID == "" || worker.Addr == "" || seen[worker.ID] {
			return nil, fmt.Errorf("config: worker list: entry %d lacks its id or address, or stands twice", i)
		}
		seen[worker.ID] = true
		workers = append(workers, worker)
	}
	return workers, nil
}

// MarshalWorkers encodes a worker list in the platform's format.
func MarshalWorkers(l []Worker) []byte { return WorkersValue(&fastjson.Arena{}, l).MarshalTo(nil) }

// WorkersValue builds the JSON value of a worker list.
func WorkersValue(a *fastjson.Arena, l []Worker) *fastjson.Value {
	list := a.NewArray()
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
		list.SetArrayItem(i, o)
	}
	o := a.NewObject()
	o.Set("workers", list)
	return o
}
