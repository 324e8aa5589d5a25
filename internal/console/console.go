// Package console is what the commands of both programs share: exit codes, running till a warning, checks.
package console

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"seamshunt/internal/config"
	"seamshunt/internal/settings"
)

// Version of the programs.
const Version = "0.1.0"

// ErrCheckFailed ends a command with exit code 1: it ran, and what it looked for does not hold.
var ErrCheckFailed = errors.New("a promise does not hold")

// NewRootCommand begins a program's command line.
func NewRootCommand(name, short string) *cobra.Command {
	c := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(&cobra.Command{Use: "version", Short: "say which version this is", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { fmt.Println(name, Version) }})
	return c
}

// Execute runs a command line: 0 for good, 1 for a promise that fails, 2 for bad input.
func Execute(c *cobra.Command) {
	err := c.Execute()
	switch {
	case err == nil:
	case errors.Is(err, ErrCheckFailed):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// Daemon is a program that runs until it is warned.
type Daemon interface {
	// Start binds the program's addresses and begins its work; on an error the process has to exit.
	Start() error
	// Drain hands the program's work to others and ends it; it returns when that is done.
	Drain()
}

// NewServeCommand adds the command that runs a program where an adapter says what its place is (design 11).
func NewServeCommand(read func() (*settings.Settings, error), create func(*settings.Settings) (Daemon, error), again func(Daemon, *settings.Settings), dump func(Daemon)) *cobra.Command {
	return &cobra.Command{Use: "serve", Short: "run on the users' platform until a warning (SIGTERM)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s := handleSignals()
			b, err := read()
			if err != nil {
				return err
			}
			settle(b)
			d, err := create(b)
			if err != nil {
				return err
			}
			return live(d, s, read, again, dump)
		}}
}

// settle keeps the process inside what it may use: the collector works harder near the memory's end.
func settle(b *settings.Settings) {
	if b.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(b.MemoryMB) << 20 * 7 / 10)
	}
}

// NewRunCommand adds the command that runs a program from its boot file.
func NewRunCommand(name string, create func(*settings.Settings) (Daemon, error), dump func(Daemon)) *cobra.Command {
	var path string
	c := &cobra.Command{Use: "run", Short: "run with a boot file until a warning (SIGTERM)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s := handleSignals()
			b, err := settings.Read(path, name)
			if err != nil {
				return err
			}
			d, err := create(b)
			if err != nil {
				return err
			}
			return live(d, s, nil, nil, dump)
		}}
	c.Flags().StringVar(&path, "boot", "", "the boot file")
	_ = c.MarkFlagRequired("boot")
	return c
}

// signals are those that a running process answers in its own time.
type signals struct{ reload, dump chan os.Signal }

// handleSignals takes over the signals that would end the process by default though they only ask it for something. It
// comes first of all: opening a disk may last, and a reload may come meanwhile.
func handleSignals() signals {
	return signals{reload: newSignals(syscall.SIGHUP), dump: newSignals(syscall.SIGUSR1)}
}

// live runs a daemon to its end. Its place is read again at a hang-up signal, and now and then without one.
func live(d Daemon, s signals, read func() (*settings.Settings, error), again func(Daemon, *settings.Settings), dump func(Daemon)) error {
	warn := newSignals(syscall.SIGTERM, syscall.SIGINT)
	if err := d.Start(); err != nil {
		return err
	}
	look := time.NewTicker(rereadGap)
	defer look.Stop()
	for {
		select {
		case <-warn:
			d.Drain()
			return nil
		case <-s.dump:
			dump(d)
			continue
		case <-s.reload:
		case <-look.C:
		}
		if read == nil {
			continue
		}
		if b, err := read(); err == nil { // a file that can't be read changes nothing
			again(d, b)
		}
	}
}

// rereadGap is how often a place is read again without being told.
const rereadGap = 2 * time.Second

func newSignals(s ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 4)
	signal.Notify(c, s...)
	return c
}

// FileCheck checks one more kind of file, which an adapter knows.
type FileCheck struct {
	Flag, Usage string
	Check       func(path string) error
	path        string
}

// NewCheckCommand adds the command that checks files and starts nothing.
func NewCheckCommand(name string, more ...*FileCheck) *cobra.Command {
	var bootPath, configPath string
	c := &cobra.Command{Use: "check", Short: "check files: a boot file, a configuration, or what else the flags name", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var bad []error
			some := bootPath != "" || configPath != ""
			for _, l := range more {
				if some = some || l.path != ""; l.path != "" {
					bad = append(bad, l.Check(l.path))
				}
			}
			if !some {
				return errors.New("a file is wanted, by one of the flags of check --help")
			}
			if bootPath != "" {
				if _, err := settings.Read(bootPath, name); err != nil {
					bad = append(bad, err)
				}
			}
			if configPath != "" {
				b, err := os.ReadFile(configPath)
				if err != nil {
					bad = append(bad, err)
				} else if _, fs := config.Parse(b); len(fs) > 0 {
					for _, f := range fs {
						bad = append(bad, fmt.Errorf("%s: %w", configPath, f))
					}
				}
			}
			err := errors.Join(bad...)
			if err == nil {
				fmt.Println("good")
			}
			return err
		}}
	c.Flags().StringVar(&bootPath, "boot", "", "a boot file")
	c.Flags().StringVar(&configPath, "config", "", "a configuration")
	for _, l := range more {
		c.Flags().StringVar(&l.path, l.Flag, "", l.Usage)
	}
	return c
}
