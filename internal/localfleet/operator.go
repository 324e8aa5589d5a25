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

// WriteKey writes a key under an operator's rules: read its number, write on it, send the same plan again while
// the outcome is unknown.
func (f *Fleet) WriteKey(path string, body []byte, limit time.Duration) (uint64, error) {
	end := time.Now().Add(limit)
	plan := fmt.Sprintf("harness-%x", rand.Uint64())
	last := ErrNoController
	num, have := "", false
	for time.Now().Before(end) {
		for _, at := range f.controllers() {
			if !have {
				code, _, n, err := transport.HTTPRequest("GET", at, path, nil, nil, 8*time.Second)
				if err != nil || code != 200 && code != 404 {
					last = fmt.Errorf("fleet: read %s: %d %v", path, code, err)
					continue
				}
				num, have = n, true
				if num == "" {
					num = "0"
				}
			}
			code, b, _, err := transport.HTTPRequest("PUT", at, path+"?number="+num, body, map[string]string{"Plan-Id": plan}, 8*time.Second)
			if err != nil {
				last = err
				continue
			}
			if code == 200 {
				var x struct{ Number uint64 }
				return x.Number, json.Unmarshal(b, &x)
			}
			last = fmt.Errorf("fleet: write %s: %d %s", path, code, b)
			if code == 400 || code == 409 {
				return 0, last
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, last
}

// ReadKey reads a key back.
func (f *Fleet) ReadKey(path string, limit time.Duration) ([]byte, uint64, error) {
	end := time.Now().Add(limit)
	last := ErrNoController
	for time.Now().Before(end) {
		for _, at := range f.controllers() {
			code, b, n, err := transport.HTTPRequest("GET", at, path, nil, nil, 8*time.Second)
			if err == nil && code == 200 {
				x, err := strconv.ParseUint(n, 10, 64)
				return b, x, err
			}
			last = fmt.Errorf("fleet: read %s: %d %s %v", path, code, b, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, 0, last
}

// ReadyRouters lists the routers that say they are ready, by zone.
func (f *Fleet) ReadyRouters() map[string][]string {
	m := map[string][]string{}
	for name, web := range f.HTTPAddrs("router") {
		p, _ := f.get(name)
		f.mu.Lock()
		up := p.cmd != nil
		f.mu.Unlock()
		if !up {
			continue
		}
		if code, _, _, err := transport.HTTPRequest("GET", web, "/healthz", nil, nil, 300*time.Millisecond); err == nil && code == 200 {
			m[p.zone] = append(m[p.zone], web)
		}
	}
	return m
}
