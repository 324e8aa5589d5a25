package controller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/config"
	"seamshunt/internal/control/register"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Control is what an adapter's door does (design 13).
func (c *Controller) Control() adapter.Control {
	return adapter.Control{Read: c.newest, Put: c.put, Change: c.alter, EvacuateZone: c.evacuate}
}

// compile reads a configuration in the format of the outside world.
func (c *Controller) compile(data []byte) (*config.Config, []*resultcode.Fault) {
	if c.adapter != nil {
		return c.adapter.Config(data)
	}
	return config.Parse(data)
}

// versions remembers what the newest number that was looked at holds, so that it is compiled once.
type versions struct {
	mu   sync.Mutex
	num  units.Version
	ver  uint64
	warm map[string]time.Duration // by service
}

// versionOf gives a stored configuration's own version, and how long each service's workers stay cold.
func (c *Controller) versionOf(num units.Version, data []byte) (uint64, map[string]time.Duration) {
	if num == 0 {
		return 0, nil
	}
	t := &c.taken
	t.mu.Lock()
	ver, warm, known := t.ver, t.warm, t.num == num
	t.mu.Unlock()
	if known {
		return ver, warm
	}
	x, _ := c.compile(data)
	if x == nil {
		return 0, nil
	}
	return t.note(num, x)
}

func (t *versions) note(num units.Version, x *config.Config) (uint64, map[string]time.Duration) {
	warm := make(map[string]time.Duration, len(x.Services))
	for n, s := range x.Services {
		warm[n] = s.WarmUp
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if num > t.num {
		t.num, t.ver, t.warm = num, x.Version, warm
	}
	return x.Version, warm
}

// newest is the configuration in force, confirmed with a majority.
func (c *Controller) newest() ([]byte, uint64, resultcode.Code) {
	ctx, done := answerTime(register.AnswerTimeout)
	defer done()
	r := c.Submit(ctx, register.Request{Key: keyConfig})
	if r.Code != resultcode.OK {
		return nil, 0, r.Code
	}
	if r.Version == 0 {
		return nil, 0, resultcode.NotFound
	}
	ver, _ := c.versionOf(r.Version, r.Data)
	return r.Data, ver, resultcode.OK
}

// base finds the configuration that a change builds on. What this node has heard will do when it is that one or newer:
// versions only rise, and the owner checks the number when it writes. Else, and where nothing was heard of, the newest is
// read with a majority.
func (c *Controller) base(ctx context.Context, builds uint64) (num units.Version, data []byte, ver uint64, code resultcode.Code) {
	num, data = c.heardOf(keyConfig)
	ver, _ = c.versionOf(num, data)
	if num > 0 && ver >= builds {
		return num, data, ver, resultcode.OK
	}
	r := c.Submit(ctx, register.Request{Key: keyConfig})
	if r.Code != resultcode.OK {
		return 0, nil, 0, r.Code
	}
	ver, _ = c.versionOf(r.Version, r.Data)
	return r.Version, r.Data, ver, resultcode.OK
}

// put takes a whole configuration.
func (c *Controller) put(builds uint64, data []byte) (resultcode.Code, []*resultcode.Fault) {
	next, fs := c.compile(data)
	if len(fs) > 0 {
		return fs[0].Code, fs
	}
	return c.write(requestID("put", builds, data), builds, func([]byte) ([]byte, *config.Config, []*resultcode.Fault) { return data, next, nil })
}

// alter takes a change by item; what is stored is the whole.
func (c *Controller) alter(builds uint64, change []byte) (resultcode.Code, []*resultcode.Fault) {
	return c.write(requestID("change", builds, change), builds, func(old []byte) ([]byte, *config.Config, []*resultcode.Fault) {
		data, fs := c.adapter.Change(old, change)
		if len(fs) > 0 {
			return nil, nil, fs
		}
		next, fs := c.compile(data)
		return data, next, fs
	})
}

// requestID names a change by what it says, so that it is known when it comes again, to whichever node.
func requestID(kind string, builds uint64, data []byte) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %s", kind, builds, data))
	return hex.EncodeToString(sum[:16])
}

// write makes a change under the version that it builds on. One that lost its race, or is refused, never comes into force:
// it is written under the number whose version was looked at, or not at all.
func (c *Controller) write(requestID string, builds uint64, whole func(old []byte) ([]byte, *config.Config, []*resultcode.Fault)) (resultcode.Code, []*resultcode.Fault) {
	ctx, done := answerTime(register.AnswerTimeout)
	defer done()
	num, old, ver, code := c.base(ctx, builds)
	if code != resultcode.OK {
		return code, nil
	}
	if ver != builds {
		return c.outcome(ctx, requestID, lowestNumber(num, ver, builds)), nil
	}
	data, next, fs := whole(old)
	if len(fs) > 0 {
		return fs[0].Code, fs
	}
	if next.Version <= ver {
		if num > 0 && bytes.Equal(data, old) {
			return c.unchanged(ctx, num), nil
		}
		return resultcode.InvalidConfig, []*resultcode.Fault{{Code: resultcode.InvalidConfig, Text: fmt.Sprintf("version %d is not above %d, which is in force", next.Version, ver)}}
	}
	r := c.record(ctx, register.Request{Key: keyConfig, ExpectedVersion: num, RequestID: requestID, Data: data})
	if r.Code == resultcode.OK && r.Version == num+1 {
		c.taken.note(r.Version, next)
	}
	return r.Code, nil
}

// lowestNumber bounds the number whose document bore the version builds, given that number num bears version ver: versions
// rise by one at least with each number.
func lowestNumber(num units.Version, ver, builds uint64) units.Version {
	if builds >= ver {
		return num
	}
	return num - min(num, units.Version(ver-builds))
}

// outcome asks whether a change was taken that builds on a version which is not in force: OK if it was; Conflict if it
// was not; Forgotten if it may have been, but so many changes ago that its outcome is no longer kept.
func (c *Controller) outcome(ctx context.Context, requestID string, lowest units.Version) resultcode.Code {
	return c.Submit(ctx, register.Request{Key: keyConfig, Write: true, Lookup: true, ExpectedVersion: lowest, RequestID: requestID}).Code
}

// unchanged acknowledges an order that would leave the configuration as it is under a number, once a majority has
// confirmed that this number is still in force.
func (c *Controller) unchanged(ctx context.Context, num units.Version) resultcode.Code {
	r := c.Submit(ctx, register.Request{Key: keyConfig})
	if r.Code == resultcode.OK && r.Version != num {
		return resultcode.VersionConflict
	}
	return r.Code
}

// checkZoneExists looks for a zone among those that the boot file names or, where it names none, that members are in. A
// controller that is cut off, or has just started, may not know all members: it says that there is no such zone only while
// a majority answers it.
func (c *Controller) checkZoneExists(ctx context.Context, zone string) resultcode.Code {
	if len(c.Settings.Zones) > 0 {
		if slices.Contains(c.Settings.Zones, zone) {
			return resultcode.OK
		}
		return resultcode.UnknownZone
	}
	inZone := func(m membership.Member) bool { return m.Zone == zone }
	if slices.ContainsFunc(c.Members(), inZone) {
		return resultcode.OK
	}
	if r := c.Submit(ctx, register.Request{Key: keyConfig}); r.Code != resultcode.OK {
		return r.Code
	}
	return resultcode.UnknownZone
}
