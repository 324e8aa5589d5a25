package scaletest

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
)

// What a run holds, measured at sizes 12 to 400 (docs/CAPACITY.md) and rounded up: so much for each node, and so much
// for each other one that it knows of. The collector lets the heap grow to twice what lives.
const (
	perNode = 256 << 10
	perPair = 4 << 10
)

// RequiredMemory is about how much memory a run of n routers takes.
func RequiredMemory(n int) uint64 {
	k := uint64(n + ControllerCount)
	return 2 * (k*perNode + k*k*perPair)
}

// MaxRouters is the largest site that fits into so much memory.
func MaxRouters(memory uint64) int {
	n := 0
	for step := 1 << 20; step > 0; step /= 2 {
		if RequiredMemory(n+step) <= memory {
			n += step
		}
	}
	return n
}

// HalfOfMemory is half of this machine's memory.
func HalfOfMemory() (uint64, error) {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("hollow: %w", err)
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var kb uint64
		if strings.HasPrefix(s.Text(), "MemTotal:") {
			if _, err := fmt.Sscanf(s.Text(), "MemTotal: %d kB", &kb); err == nil {
				return kb << 10 / 2, nil
			}
		}
	}
	return 0, errors.New("hollow: /proc/meminfo names no memory")
}

// CheckSizes says whether sizes can be run here, and else what the bounds are.
func CheckSizes(sizes []int, memory uint64) error {
	most := MaxRouters(memory)
	if len(sizes) == 0 {
		return fmt.Errorf("--sizes names no size: 1 to %d fit here", most)
	}
	for _, n := range sizes {
		if n < 1 || n > most {
			return fmt.Errorf("--sizes: %d is not from 1 to %d, the largest that fits into %d MB", n, most, memory>>20)
		}
	}
	return nil
}
