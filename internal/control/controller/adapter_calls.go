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

// Control returns the calls that an adapter's HTTP handler makes (docs/design.md, section 13).
func (c *Controller) Control() adapter.Control {
	return adapter.Control{Read: c.readConfig, Put: c.putConfig, Change: c.changeConfig, EvacuateZone: c.handleZoneRequest}
}

// parseConfig parses a configuration in the adapter's format or, without an adapter, in the built-in one.
func (c *Controller) parseConfig(data []byte) (*config.Config, []*resultcode.Fault) {
	if c.adapter != nil {
		return c.adapter.Config(data)
	}
	return config.Parse(data)
}

// parsedConfig caches what is needed of the newest stored configuration, so that it is parsed once. storedVersion counts the
// writes to the configuration's key; docVersion is the version that the document itself contains.
type parsedConfig struct {
	mu            sync.Mutex
	storedVersion units.Version
	docVersion    uint64
	warmup        map[string]time.Duration // by service
}

// configDocVersion returns the document version of a stored configuration, and the warm-up time of each service's workers.
func (c *Controller) configDocVersion(storedVersion units.Version, data []byte) (uint64, map[string]time.Duration) {
	if storedVersion == 0 {
		return 0, nil
	}
	latest := &c.latestConfig
	latest.mu.Lock()
	docVersion, warmup, known := latest.docVersion, latest.warmup, latest.storedVersion == storedVersion
	latest.mu.Unlock()
	if known {
		return docVersion, warmup
	}
	cfg, _ := c.parseConfig(data)
	if cfg == nil {
		return 0, nil
	}
	return latest.store(storedVersion, cfg)
}

func (p *parsedConfig) store(storedVersion units.Version, cfg *config.Config) (uint64, map[string]time.Duration) {
	warmup := make(map[string]time.Duration, len(cfg.Services))
	for name, service := range cfg.Services {
		warmup[name] = service.WarmUp
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if storedVersion > p.storedVersion {
		p.storedVersion, p.docVersion, p.warmup = storedVersion, cfg.Version, warmup
	}
	return cfg.Version, warmup
}

// readConfig returns the configuration in force, confirmed by a majority.
func (c *Controller) readConfig() ([]byte, uint64, resultcode.Code) {
	ctx, cancel := withAnswerTimeout(register.AnswerTimeout)
	defer cancel()
	result := c.Submit(ctx, register.Request{Key: keyConfig})
	if result.Code != resultcode.OK {
		return nil, 0, result.Code
	}
	if result.Version == 0 {
		return nil, 0, resultcode.NotFound
	}
	docVersion, _ := c.configDocVersion(result.Version, result.Data)
	return result.Data, docVersion, resultcode.OK
}

// baseConfig finds the configuration that a change builds on. The one known to this node is enough if its document
// version is base or higher: document versions only rise, and the owner checks the stored version when it writes.
// Otherwise, and if this node knows no configuration, the newest one is read from a majority.
func (c *Controller) baseConfig(ctx context.Context, base uint64) (storedVersion units.Version, data []byte, docVersion uint64, code resultcode.Code) {
	storedVersion, data = c.knownValue(keyConfig)
	docVersion, _ = c.configDocVersion(storedVersion, data)
	if storedVersion > 0 && docVersion >= base {
		return storedVersion, data, docVersion, resultcode.OK
	}
	result := c.Submit(ctx, register.Request{Key: keyConfig})
	if result.Code != resultcode.OK {
		return 0, nil, 0, result.Code
	}
	docVersion, _ = c.configDocVersion(result.Version, result.Data)
	return result.Version, result.Data, docVersion, resultcode.OK
}

// putConfig replaces the whole configuration.
func (c *Controller) putConfig(base uint64, data []byte) (resultcode.Code, []*resultcode.Fault) {
	next, faults := c.parseConfig(data)
	if len(faults) > 0 {
		return faults[0].Code, faults
	}
	return c.writeConfig(requestID("put", base, data), base, func([]byte) ([]byte, *config.Config, []*resultcode.Fault) { return data, next, nil })
}

// changeConfig applies a change of single items; the resulting whole configuration is stored.
func (c *Controller) changeConfig(base uint64, change []byte) (resultcode.Code, []*resultcode.Fault) {
	return c.writeConfig(requestID("change", base, change), base, func(old []byte) ([]byte, *config.Config, []*resultcode.Fault) {
		data, faults := c.adapter.Change(old, change)
		if len(faults) > 0 {
			return nil, nil, faults
		}
		next, faults := c.parseConfig(data)
		return data, next, faults
	})
}

// requestID derives a change's ID from its content, so that every node recognizes a repeated request.
func requestID(kind string, base uint64, data []byte) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %s", kind, base, data))
	return hex.EncodeToString(sum[:16])
}

// writeConfig makes a change that builds on document version base. A change that lost a race or was refused never comes
// into force: it is written on the stored version whose document version was checked, or not at all.
func (c *Controller) writeConfig(requestID string, base uint64, build func(old []byte) ([]byte, *config.Config, []*resultcode.Fault)) (resultcode.Code, []*resultcode.Fault) {
	ctx, cancel := withAnswerTimeout(register.AnswerTimeout)
	defer cancel()
	storedVersion, old, docVersion, code := c.baseConfig(ctx, base)
	if code != resultcode.OK {
		return code, nil
	}
	if docVersion != base {
		return c.lookUpOutcome(ctx, requestID, lowestStoredVersion(storedVersion, docVersion, base)), nil
	}
	data, next, faults := build(old)
	if len(faults) > 0 {
		return faults[0].Code, faults
	}
	if next.Version <= docVersion {
		if storedVersion > 0 && bytes.Equal(data, old) {
			return c.confirmUnchanged(ctx, storedVersion), nil
		}
		return resultcode.InvalidConfig, []*resultcode.Fault{{Code: resultcode.InvalidConfig, Text: fmt.Sprintf("version %d is not above %d, which is in force", next.Version, docVersion)}}
	}
	result := c.writeAudited(ctx, register.Request{Key: keyConfig, ExpectedVersion: storedVersion, RequestID: requestID, Data: data})
	if result.Code == resultcode.OK && result.Version == storedVersion+1 {
		c.latestConfig.store(result.Version, next)
	}
	return result.Code, nil
}

// lowestStoredVersion returns a lower bound for the stored version of the document with version base, given that
// storedVersion holds the document with version docVersion. Document versions rise by at least one with each stored
// version.
func lowestStoredVersion(storedVersion units.Version, docVersion, base uint64) units.Version {
	if base >= docVersion {
		return storedVersion
	}
	return storedVersion - min(storedVersion, units.Version(docVersion-base))
}

// lookUpOutcome looks up the outcome of a change that builds on a version which is not in force. It returns OK if the
// change was made, VersionConflict if it wasn't, and OutcomeExpired if it may have been made, but so many changes ago
// that its outcome is no longer kept.
func (c *Controller) lookUpOutcome(ctx context.Context, requestID string, lowest units.Version) resultcode.Code {
	return c.Submit(ctx, register.Request{Key: keyConfig, Write: true, Lookup: true, ExpectedVersion: lowest, RequestID: requestID}).Code
}

// confirmUnchanged acknowledges a request that would not change the configuration, once a majority has confirmed that
// storedVersion is still in force.
func (c *Controller) confirmUnchanged(ctx context.Context, storedVersion units.Version) resultcode.Code {
	result := c.Submit(ctx, register.Request{Key: keyConfig})
	if result.Code == resultcode.OK && result.Version != storedVersion {
		return resultcode.VersionConflict
	}
	return result.Code
}

// checkZoneExists checks that a zone is listed in the settings or, if they list none, that it has members. A partitioned
// or newly started controller may not know all members: it reports an unknown zone only while a majority answers it.
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
	if result := c.Submit(ctx, register.Request{Key: keyConfig}); result.Code != resultcode.OK {
		return result.Code
	}
	return resultcode.UnknownZone
}
