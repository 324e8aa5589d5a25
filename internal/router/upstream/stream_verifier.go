// Package upstream dispatches requests to workers and verifies their answers (docs/design.md, section 8).
package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"

	"github.com/valyala/fastjson"
)

// Limits of a worker's answer.
const (
	MaxLineBytes   = 1 << 20
	MaxAnswerBytes = 64 << 20
)

// StreamVerifier verifies a worker's stream line by line. The stream consists of numbered pieces of text and ends with a
// seal: the request's id, the number of pieces, their total length and a digest of their text.
type StreamVerifier struct {
	id        string
	nextPiece int
	textBytes int
	digest    hash.Hash
	sealed    bool
	parser    fastjson.Parser
}

// NewStreamVerifier returns a verifier for the answer to request id.
func NewStreamVerifier(id string) *StreamVerifier {
	return &StreamVerifier{id: id, digest: sha256.New()}
}

// VerifyLine verifies the next line of the stream and reports whether it was the seal. An error means that the answer is not
// complete.
func (s *StreamVerifier) VerifyLine(b []byte) (bool, error) {
	if s.sealed {
		return false, errors.New("upstream: line after the seal")
	}
	v, err := s.parser.ParseBytes(b)
	if err != nil {
		return false, fmt.Errorf("upstream: line is not JSON: %w", err)
	}
	if x := v.Get("seal"); x != nil {
		return true, s.verifySeal(x)
	}
	n, err := intField(v, "n")
	if err != nil {
		return false, err
	}
	if n != s.nextPiece {
		return false, fmt.Errorf("upstream: piece %d, want piece %d", n, s.nextPiece)
	}
	t := v.Get("text")
	if t == nil || t.Type() != fastjson.TypeString {
		return false, fmt.Errorf("upstream: piece %d has no text", n)
	}
	text := t.GetStringBytes()
	s.nextPiece++
	s.textBytes += len(text)
	if s.textBytes > MaxAnswerBytes {
		return false, fmt.Errorf("upstream: answer larger than %d bytes", MaxAnswerBytes)
	}
	s.digest.Write(text)
	return false, nil
}

func intField(v *fastjson.Value, name string) (int, error) {
	x := v.Get(name)
	if x == nil {
		return 0, fmt.Errorf("upstream: %s is missing", name)
	}
	n, err := x.Int()
	if err != nil {
		return 0, fmt.Errorf("upstream: %s: %w", name, err)
	}
	return n, nil
}

func (s *StreamVerifier) verifySeal(x *fastjson.Value) error {
	if id := string(x.GetStringBytes("id")); id != s.id {
		return fmt.Errorf("upstream: seal is for request %q", id)
	}
	n, err := intField(x, "pieces")
	if err != nil {
		return err
	}
	l, err := intField(x, "bytes")
	if err != nil {
		return err
	}
	if n != s.nextPiece || l != s.textBytes {
		return fmt.Errorf("upstream: seal names %d pieces of %d bytes, received %d of %d", n, l, s.nextPiece, s.textBytes)
	}
	if d := string(x.GetStringBytes("digest")); d != hex.EncodeToString(s.digest.Sum(nil)) {
		return errors.New("upstream: digest mismatch")
	}
	s.sealed = true
	return nil
}

// Complete reports whether a valid seal has been received.
func (s *StreamVerifier) Complete() bool { return s.sealed }
