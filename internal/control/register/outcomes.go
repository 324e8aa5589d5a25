package register

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// MaxOutcomes bounds an outcome table; past it the oldest entries are cut. 1,024 entries are 8 kB in each write; see
// docs/control-safety-2-orders.md for the cost. A table longer than this is malformed, so a fleet has to agree on it.
const MaxOutcomes = 1024

// Fingerprint stands for a request id: the first 8 bytes of its SHA-256. Zero stands for a write without an id.
type Fingerprint uint64

const fingerprintSize = 8

func fingerprintOf(requestID string) Fingerprint {
	if requestID == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(requestID))
	return max(1, Fingerprint(binary.LittleEndian.Uint64(sum[:])))
}

// Outcomes is a value's outcome table: for each of the value's latest numbers, oldest first, the fingerprint of the
// request that got it. The last entry belongs to the value's own number. Each write takes the next number, so the
// numbers themselves need not be stored. The table is part of the value: it is accepted, adopted, repaired, logged and
// handed to new members with it.
type Outcomes []Fingerprint

// oldest is the lowest number whose request the table names; newest is the value's own number.
func (t Outcomes) oldest(newest units.Version) units.Version {
	return newest - units.Version(len(t)) + 1
}

// find gives the number that a request got.
func (t Outcomes) find(f Fingerprint, newest units.Version) (units.Version, bool) {
	if f == 0 {
		return 0, false
	}
	for i, x := range t {
		if x == f {
			return t.oldest(newest) + units.Version(i), true
		}
	}
	return 0, false
}

// with gives the table of the value that follows, written by a request with this fingerprint.
func (t Outcomes) with(f Fingerprint) Outcomes {
	keep := t[max(0, len(t)-MaxOutcomes+1):]
	return append(append(make(Outcomes, 0, len(keep)+1), keep...), f)
}

// absent answers a request that the table does not name and that can't be written any more. It can't have got a number
// below earliest. Conflict is certain while the table reaches back that far; else its outcome may have been cut.
func (t Outcomes) absent(earliest, newest units.Version) resultcode.Code {
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
		return nil, fmt.Errorf("register: an outcome table of %d bytes", len(packed))
	}
	t := make(Outcomes, len(packed)/fingerprintSize)
	for i := range t {
		t[i] = Fingerprint(binary.LittleEndian.Uint64(packed[i*fingerprintSize:]))
	}
	return t, nil
}

// bodyFormat marks the layout of a stored body.
const bodyFormat = 1

type bodyHead struct{ Format uint64 }

// packBody lays out what is stored under a number: the outcome table, then the data.
func packBody(outcomes Outcomes, data []byte) []byte {
	return message.Pack(bodyHead{bodyFormat}, outcomes.pack(), data)
}

func splitBody(body []byte) (packed, data []byte, err error) {
	var h bodyHead
	if err = message.Unpack(body, &h, &packed, &data); err != nil {
		return nil, nil, err
	}
	if h.Format != bodyFormat {
		return nil, nil, fmt.Errorf("register: a body of format %d", h.Format)
	}
	return packed, data, nil
}

// unpackBody takes apart the body that is stored under a number. Number 0 has none; any other has one.
func unpackBody(num units.Version, body []byte) (Outcomes, []byte, error) {
	if num == 0 && len(body) == 0 {
		return nil, nil, nil
	}
	packed, data, err := splitBody(body)
	if err != nil {
		return nil, nil, err
	}
	outcomes, err := unpackOutcomes(packed)
	if err == nil && units.Version(len(outcomes)) > num {
		err = fmt.Errorf("register: %d outcomes under number %d", len(outcomes), num)
	}
	return outcomes, data, err
}

// checkBody says what is wrong with a body that came over the wire or from the disk.
func checkBody(key string, num units.Version, body []byte) error {
	_, data, err := unpackBody(num, body)
	if err == nil && key == KeyQuorum && num > 0 {
		_, err = UnpackQuorumSet(data)
	}
	return err
}

// Data gives the operator's bytes out of a stored body, which was checked when it came in.
func Data(body []byte) []byte {
	_, data, _ := splitBody(body)
	return data
}
