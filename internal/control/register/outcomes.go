package register

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// MaxOutcomes is the maximum length of an outcome table; beyond it the oldest entries are dropped. 1,024 entries add
// 8 kB to each write; see docs/control-safety-2-orders.md for the cost. A longer table is rejected as malformed, so
// all nodes of a fleet must use the same limit.
const MaxOutcomes = 1024

// Fingerprint identifies a request: the first 8 bytes of the SHA-256 of its id. Zero stands for a write without an
// id.
type Fingerprint uint64

const fingerprintSize = 8

func fingerprintOf(requestID string) Fingerprint {
	if requestID == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(requestID))
	return max(1, Fingerprint(binary.LittleEndian.Uint64(sum[:])))
}

// Outcomes is the outcome table of a value: for each of the latest versions, oldest first, the fingerprint of the
// request that wrote it. The last entry belongs to the value's own version. Each write takes the next version, so the
// versions themselves need not be stored. The table is part of the value: it is accepted, adopted, repaired, logged
// and copied to new members with it.
type Outcomes []Fingerprint

// oldest returns the lowest version that the table covers; newest is the value's own version.
func (t Outcomes) oldest(newest units.Version) units.Version {
	return newest - units.Version(len(t)) + 1
}

// find returns the version that a request wrote.
func (t Outcomes) find(fingerprint Fingerprint, newest units.Version) (units.Version, bool) {
	if fingerprint == 0 {
		return 0, false
	}
	for i, x := range t {
		if x == fingerprint {
			return t.oldest(newest) + units.Version(i), true
		}
	}
	return 0, false
}

// appended returns the table of the next value, which a request with this fingerprint writes.
func (t Outcomes) appended(fingerprint Fingerprint) Outcomes {
	kept := t[max(0, len(t)-MaxOutcomes+1):]
	return append(append(make(Outcomes, 0, len(kept)+1), kept...), fingerprint)
}

// absentCode returns the answer to a request that is not in the table and can't be written any more. Its write could
// not have got a version below earliest. If the table reaches back that far, the request was certainly not written
// (VersionConflict); otherwise its entry may have been dropped (OutcomeExpired).
func (t Outcomes) absentCode(earliest, newest units.Version) resultcode.Code {
	if earliest < t.oldest(newest) {
		return resultcode.OutcomeExpired
	}
	return resultcode.VersionConflict
}

func (t Outcomes) pack() []byte {
	packed := make([]byte, 0, len(t)*fingerprintSize)
	for _, f := range t {
		packed = binary.LittleEndian.AppendUint64(packed, uint64(f))
	}
	return packed
}

func unpackOutcomes(packed []byte) (Outcomes, error) {
	if len(packed)%fingerprintSize != 0 || len(packed) > MaxOutcomes*fingerprintSize {
		return nil, fmt.Errorf("register: outcome table has invalid size of %d bytes", len(packed))
	}
	t := make(Outcomes, len(packed)/fingerprintSize)
	for i := range t {
		t[i] = Fingerprint(binary.LittleEndian.Uint64(packed[i*fingerprintSize:]))
	}
	return t, nil
}

// bodyFormat identifies the layout of a stored body.
const bodyFormat = 1

type bodyHeader struct{ Format uint64 }

// packBody encodes what is stored for a version: the outcome table, then the data.
func packBody(outcomes Outcomes, data []byte) []byte {
	return message.Pack(bodyHeader{bodyFormat}, outcomes.pack(), data)
}

func splitBody(body []byte) (packed, data []byte, err error) {
	var h bodyHeader
	if err = message.Unpack(body, &h, &packed, &data); err != nil {
		return nil, nil, err
	}
	if h.Format != bodyFormat {
		return nil, nil, fmt.Errorf("register: unknown body format %d", h.Format)
	}
	return packed, data, nil
}

// unpackBody decodes the body that is stored for a version. Version 0 has no body; every other version has one.
func unpackBody(version units.Version, body []byte) (Outcomes, []byte, error) {
	if version == 0 && len(body) == 0 {
		return nil, nil, nil
	}
	packed, data, err := splitBody(body)
	if err != nil {
		return nil, nil, err
	}
	outcomes, err := unpackOutcomes(packed)
	if err == nil && units.Version(len(outcomes)) > version {
		err = fmt.Errorf("register: %d outcomes at version %d", len(outcomes), version)
	}
	return outcomes, data, err
}

// checkBody validates a body received from another node or read from the disk.
func checkBody(key string, version units.Version, body []byte) error {
	_, data, err := unpackBody(version, body)
	if err == nil && key == KeyQuorum && version > 0 {
		_, err = UnpackQuorumSet(data)
	}
	return err
}

// Data returns the operator's bytes in a stored body, which was validated when it was received.
func Data(body []byte) []byte {
	_, data, _ := splitBody(body)
	return data
}
