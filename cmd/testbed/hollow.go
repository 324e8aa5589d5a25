package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"seamshunt/internal/scaletest"
)

const maxJobs = 16

// scaleStudy holds the flags of testbed hollow.
type scaleStudy struct {
	sizes  []int
	names  []string
	seed   uint64
	dir    string
	memory uint64
	jobs   int
	frames int
}

// hollowCmd measures the cost of each role at several fleet sizes, with hollow nodes.
func hollowCmd() *cobra.Command {
	x := &scaleStudy{}
	for _, e := range scaletest.Experiments {
		x.names = append(x.names, e.Name)
	}
	c := &cobra.Command{Use: "hollow", Short: "run hollow nodes at several fleet sizes, and write the cost of each role as a table and a plot", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		l, err := x.check()
		if err != nil {
			return err
		}
		ctx, stop := signalContext()
		defer stop()
		return x.run(ctx, l)
	}
	f := c.Flags()
	f.IntSliceVar(&x.sizes, "sizes", []int{12, 50, 100, 200, 400}, "how many routers; 8 controllers are with them")
	f.StringSliceVar(&x.names, "experiments", x.names, "what the site does")
	f.Uint64Var(&x.seed, "seed", 1, "seed")
	f.StringVar(&x.dir, "dir", "", "a directory for capacity.csv, capacity.md and capacity.svg; the Markdown is printed anyway")
	f.Uint64Var(&x.memory, "memory-mb", 6144, "maximum memory of all concurrent runs in MB; at most half of the machine's")
	f.IntVar(&x.jobs, "jobs", 3, "maximum number of concurrent runs, each a process of one thread")
	f.IntVar(&x.frames, "frames", 20000, "number of real frames to send to measure the cost of one; 0 for none")
	c.AddCommand(singleRunCmd())
	return c
}

// memoryLimit returns the given limit in bytes, or half of the machine's memory if that is less.
func memoryLimit(maxMB uint64) (uint64, error) {
	half, err := scaletest.HalfOfMemory()
	return min(half, maxMB<<20), err
}

// check validates the flags before any run starts.
func (x *scaleStudy) check() ([]scaletest.Experiment, error) {
	m, err := memoryLimit(x.memory)
	if err != nil {
		return nil, err
	}
	l, err := scaletest.FindExperiments(x.names)
	switch {
	case err != nil:
		return nil, err
	case len(l) == 0:
		return nil, errors.New("--experiments names none")
	case x.jobs < 1 || x.jobs > maxJobs:
		return nil, fmt.Errorf("--jobs is 1 to %d", maxJobs)
	case x.frames < 0:
		return nil, errors.New("--frames is 0 or above")
	}
	if err := scaletest.CheckSizes(x.sizes, m/uint64(x.jobs)); err != nil {
		return nil, err
	}
	if x.dir != "" {
		if s, err := os.Stat(x.dir); err != nil || !s.IsDir() {
			return nil, fmt.Errorf("--dir %s: no such directory", x.dir)
		}
	}
	return l, nil
}

// singleRunCmd does one run in a process of its own, so that its memory and processor time can be measured.
func singleRunCmd() *cobra.Command {
	var seed uint64
	c := &cobra.Command{Use: "one EXPERIMENT SIZE", Short: "one run, its result as JSON", Args: cobra.ExactArgs(2)}
	c.RunE = func(_ *cobra.Command, a []string) error {
		l, err := scaletest.FindExperiments(a[:1])
		if err != nil {
			return err
		}
		n, err := strconv.Atoi(a[1])
		if err != nil {
			return fmt.Errorf("SIZE: %w", err)
		}
		m, err := scaletest.HalfOfMemory()
		if err != nil {
			return err
		}
		if err := scaletest.CheckSizes([]int{n}, m); err != nil {
			return err
		}
		runtime.GOMAXPROCS(1) // one thread, so that processor time is steady
		r, err := scaletest.Measure(l[0], scaletest.ScaledSite(n, seed))
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed")
	return c
}

// run starts the largest sizes first, so that no long run is left at the end, and writes the results.
func (x *scaleStudy) run(ctx context.Context, l []scaletest.Experiment) error {
	me, err := os.Executable()
	if err != nil {
		return err
	}
	all := make([][]scaletest.Result, len(l))
	errs := make([]error, len(l)*len(x.sizes))
	free := make(chan struct{}, x.jobs)
	var wait sync.WaitGroup
	for j := len(x.sizes) - 1; j >= 0; j-- {
		for i, e := range l {
			if all[i] == nil {
				all[i] = make([]scaletest.Result, len(x.sizes))
			}
			free <- struct{}{}
			wait.Go(func() {
				defer func() { <-free }()
				out, err := exec.CommandContext(ctx, me, "hollow", "one", e.Name, strconv.Itoa(x.sizes[j]), "--seed", strconv.FormatUint(x.seed, 10)).Output()
				if err == nil {
					err = json.Unmarshal(out, &all[i][j])
				}
				errs[i*len(x.sizes)+j] = err
			})
		}
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	var rows []scaletest.Row
	for i, e := range l {
		for j, n := range x.sizes {
			r := all[i][j]
			rows = append(rows, r.Rows...)
			fmt.Printf("%-8s %4d: ready after %.1f s; changes %v, slowest in force after %v; verdicts %v; claims %v; polls %d; %.1f s of processor time\n", e.Name, n,
				r.ReadyAfter.Seconds(), r.ChangeResults, r.MaxApplyTime.Round(time.Millisecond), r.Decisions, r.ClaimResults, r.Polls, r.CPUTime.Seconds())
		}
	}
	for _, size := range []int{124, 4096, 65536} {
		if x.frames > 0 {
			d, err := scaletest.MeasureFrames(x.frames, size)
			if err != nil {
				return err
			}
			fmt.Printf("a frame of %d bytes over loopback, sent and taken: %.1f microseconds of processor time\n", size, float64(d.Nanoseconds())/1000)
		}
	}
	return x.write(rows)
}

func (x *scaleStudy) write(rows []scaletest.Row) error {
	var md strings.Builder
	if err := scaletest.WriteMarkdown(&md, rows, scaletest.FitLines(rows)); err != nil {
		return err
	}
	fmt.Print("\n", md.String())
	if x.dir == "" {
		return nil
	}
	return errors.Join(writeFile(filepath.Join(x.dir, "capacity.md"), func(w io.Writer) error { _, err := io.WriteString(w, md.String()); return err }),
		writeFile(filepath.Join(x.dir, "capacity.csv"), func(w io.Writer) error { return scaletest.WriteCSV(w, rows) }),
		scaletest.WritePlot(filepath.Join(x.dir, "capacity.svg"), rows))
}

func writeFile(path string, f func(io.Writer) error) error {
	o, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(f(o), o.Close())
}
