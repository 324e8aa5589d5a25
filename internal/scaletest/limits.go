package scaletest

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
)

// The live heap of a run is about bytesPerNode for each node plus bytesPerPair for each node in its membership. Both are
// rounded up and hold for sizes 12 to 400 (docs/CAPACITY.md). The garbage collector lets the heap grow to twice that.
const (
	bytesPerNode = 256 << 10
	bytesPerPair = 4 << 10
)

// RequiredMemory returns the approximate memory that a run takes, in bytes.
func RequiredMemory(routers int) uint64 {
	nodes := uint64(routers + ControllerCount)
	return 2 * (nodes*bytesPerNode + nodes*nodes*bytesPerPair)
}

// MaxRouters returns the number of routers of the largest site that fits into memory bytes.
func MaxRouters(memory uint64) int {
	routers := 0
	for step := 1 << 20; step > 0; step /= 2 {
		if RequiredMemory(routers+step) <= memory {
			routers += step
		}
	}
	return routers
}

// HalfOfMemory returns half of this machine's memory in bytes.
func HalfOfMemory() (uint64, error) {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("scaletest: %w", err)
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
	return 0, errors.New("scaletest: /proc/meminfo has no MemTotal")
}

// CheckSizes returns an error that states the limits if not all sizes fit into memory bytes.
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
