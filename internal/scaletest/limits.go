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
	bytesPerNode = 256 << 10
	bytesPerPair = 4 << 10
)

// RequiredMemory is about how much memory a run of n routers takes.
func RequiredMemory(routers int) uint64 {
	nodes := uint64(routers + ControllerCount)
	return 2 * (nodes*bytesPerNode + nodes*nodes*bytesPerPair)
}

// MaxRouters is the largest site that fits into so much memory.
func MaxRouters(memory uint64) int {
	routers := 0
	for step := 1 << 20; step > 0; step /= 2 {
		if RequiredMemory(routers+step) <= memory {
			routers += step
		}
	}
	return routers
}

// HalfOfMemory is half of this machine's memory.
func HalfOfMemory() (uint64, error) {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("hollow: %w", err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var kb uint64
		if strings.HasPrefix(lines.Text(), "MemTotal:") {
			if _, err := fmt.Sscanf(lines.Text(), "MemTotal: %d kB", &kb); err == nil {
				return kb << 10 / 2, nil
			}
		}
	}
	return 0, errors.New("hollow: /proc/meminfo names no memory")
}

// CheckSizes says whether sizes can be run here, and else what the bounds are.
func CheckSizes(sizes []int, memory uint64) error {
	maxRouters := MaxRouters(memory)
	if len(sizes) == 0 {
		return fmt.Errorf("--sizes names no size: 1 to %d fit here", maxRouters)
	}
	for _, n := range sizes {
		if n < 1 || n > maxRouters {
			return fmt.Errorf("--sizes: %d is not from 1 to %d, the largest that fits into %d MB", n, maxRouters, memory>>20)
		}
	}
	return nil
}
