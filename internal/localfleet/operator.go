package localfleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"seamshunt/internal/cluster/transport"
)

func (f *Fleet) controllers() []string {
	var l []string
	for _, w := range f.HTTPAddrs("controller") {
		l = append(l, w)
	}
	slices.Sort(l)
	return l
}

// WriteKey writes a key as an operator has to: it reads the current version, writes on condition of it, and repeats the
// request with the same plan id while the outcome is unknown.
func (f *Fleet) WriteKey(path string, body []byte, limit time.Duration) (uint64, error) {
	end := time.Now().Add(limit)
	planID := fmt.Sprintf("harness-%x", rand.Uint64())
	lastErr := ErrNoController
	version, versionKnown := "", false
	for time.Now().Before(end) {
		for _, at := range f.controllers() {
			if !versionKnown {
				code, _, n, err := transport.HTTPRequest("GET", at, path, nil, nil, 8*time.Second)
				if err != nil || code != 200 && code != 404 {
					lastErr = fmt.Errorf("localfleet: read %s: %d %v", path, code, err)
					continue
				}
				version, versionKnown = n, true
				if version == "" {
					version = "0"
				}
			}
			code, b, _, err := transport.HTTPRequest("PUT", at, path+"?number="+version, body, map[string]string{"Plan-Id": planID}, 8*time.Second)
			if err != nil {
				lastErr = err
				continue
			}
			if code == 200 {
				var x struct{ Number uint64 }
				return x.Number, json.Unmarshal(b, &x)
			}
			lastErr = fmt.Errorf("localfleet: write %s: %d %s", path, code, b)
			if code == 400 || code == 409 {
				return 0, lastErr
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, lastErr
}

// ReadKey reads a key and its version.
func (f *Fleet) ReadKey(path string, limit time.Duration) ([]byte, uint64, error) {
	end := time.Now().Add(limit)
	lastErr := ErrNoController
	for time.Now().Before(end) {
		for _, at := range f.controllers() {
			code, b, n, err := transport.HTTPRequest("GET", at, path, nil, nil, 8*time.Second)
			if err == nil && code == 200 {
				x, err := strconv.ParseUint(n, 10, 64)
				return b, x, err
			}
			lastErr = fmt.Errorf("localfleet: read %s: %d %s %v", path, code, b, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, 0, lastErr
}

// ReadyRouters returns the addresses of the routers that answer their health check, by zone.
func (f *Fleet) ReadyRouters() map[string][]string {
	m := map[string][]string{}
	for name, addr := range f.HTTPAddrs("router") {
		p, _ := f.lookup(name)
		f.mu.Lock()
		up := p.cmd != nil
		f.mu.Unlock()
		if !up {
			continue
		}
		if code, _, _, err := transport.HTTPRequest("GET", addr, "/healthz", nil, nil, 300*time.Millisecond); err == nil && code == 200 {
			m[p.zone] = append(m[p.zone], addr)
		}
	}
	return m
}
