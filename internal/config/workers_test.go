package config

import (
	"slices"
	"testing"
	"time"
)

// A list comes back as it was written, with services, slots and how long workers stay cold.
func TestWorkersComeBack(t *testing.T) {
	l := []Worker{{ID: "a", Addr: "x:1", Zone: "z", Draining: true, Age: time.Second, Service: "s", Slots: 7, WarmingUpFor: 1500 * time.Millisecond, Incarnation: 1 << 60}, {ID: "b", Addr: "x:2"}}
	got, err := ParseWorkers(MarshalWorkers(l))
	if err != nil || !slices.Equal(got, l) {
		t.Errorf("%+v, %v", got, err)
	}
}
