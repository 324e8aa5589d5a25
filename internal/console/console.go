// Package console contains the commands that both programs share: exit codes, running until SIGTERM, and file checks.
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

// Version is the version of both programs.
const Version = "0.1.0"

// ErrCheckFailed ends a command with exit code 1: the command ran, but what it checked doesn't hold.
var ErrCheckFailed = errors.New("a promise does not hold")

// NewRootCommand returns a program's root command, with the version command.
func NewRootCommand(name, short string) *cobra.Command {
	c := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(&cobra.Command{Use: "version", Short: "say which version this is", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { fmt.Println(name, Version) }})
	return c
}

// Execute runs a program's command line. The exit code is 0 on success, 1 if a check fails, and 2 for invalid input or any other
// error.
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

// Daemon is a program that runs until it gets SIGTERM or SIGINT.
type Daemon interface {
	// Start binds the program's addresses and starts its work; after an error the process must exit.
	Start() error
	// Drain hands over the program's work to other processes, stops it, and returns when that is done.
	Drain()
}

// NewServeCommand returns the command that runs a program with the settings that an adapter reads (docs/design.md,
// section 11).
func NewServeCommand(read func() (*settings.Settings, error), create func(*settings.Settings) (Daemon, error),
	reload func(Daemon, *settings.Settings), dump func(Daemon)) *cobra.Command {
	return &cobra.Command{Use: "serve", Short: "run on the users' platform until a warning (SIGTERM)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s := handleSignals()
			b, err := read()
			if err != nil {
				return err
			}
			setMemoryLimit(b)
			d, err := create(b)
			if err != nil {
				return err
			}
			return runDaemon(d, s, read, reload, dump)
		}}
}

// setMemoryLimit sets the garbage collector's soft limit to 70% of the memory that the process may use, so that it collects more
// often before the limit is reached.
func setMemoryLimit(b *settings.Settings) {
	if b.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(b.MemoryMB) << 20 * 7 / 10)
	}
}

// NewRunCommand returns the command that runs a program with a boot file.
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
			return runDaemon(d, s, nil, nil, dump)
		}}
	c.Flags().StringVar(&path, "boot", "", "the boot file")
	_ = c.MarkFlagRequired("boot")
	return c
}

// signals are the channels of the signals that don't end the process.
type signals struct{ reload, dump chan os.Signal }

// handleSignals installs handlers for SIGHUP and SIGUSR1, which would end the process by default. It must be called before
// anything else, since a reload may arrive while the disk is still being opened.
func handleSignals() signals {
	return signals{reload: newSignals(syscall.SIGHUP), dump: newSignals(syscall.SIGUSR1)}
}

// runDaemon runs a daemon until SIGTERM or SIGINT. It reads the settings again on SIGHUP and periodically without one.
func runDaemon(d Daemon, s signals, read func() (*settings.Settings, error), reload func(Daemon, *settings.Settings),
	dump func(Daemon)) error {
	terminate := newSignals(syscall.SIGTERM, syscall.SIGINT)
	if err := d.Start(); err != nil {
		return err
	}
	reloadTicker := time.NewTicker(reloadInterval)
	defer reloadTicker.Stop()
	for {
		select {
		case <-terminate:
			d.Drain()
			return nil
		case <-s.dump:
			dump(d)
			continue
		case <-s.reload:
		case <-reloadTicker.C:
		}
		if read == nil {
			continue
		}
		if b, err := read(); err == nil { // an invalid or unreadable settings file changes nothing
			reload(d, b)
		}
	}
}

// reloadInterval is how often the settings are read again without a signal.
const reloadInterval = 2 * time.Second

func newSignals(s ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 4)
	signal.Notify(c, s...)
	return c
}

// FileCheck adds a kind of file, which an adapter knows, to the check command; Flag and Usage describe its flag.
type FileCheck struct {
	Flag, Usage string
	Check       func(path string) error
	path        string
}

// NewCheckCommand returns the command that checks files without starting anything.
func NewCheckCommand(name string, fileChecks ...*FileCheck) *cobra.Command {
	var settingsPath, configPath string
	c := &cobra.Command{Use: "check", Short: "check files: a boot file, a configuration, or what else the flags name",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var errs []error
			anyFile := settingsPath != "" || configPath != ""
			for _, check := range fileChecks {
				if anyFile = anyFile || check.path != ""; check.path != "" {
					errs = append(errs, check.Check(check.path))
				}
			}
			if !anyFile {
				return errors.New("a file is wanted, by one of the flags of check --help")
			}
			if settingsPath != "" {
				if _, err := settings.Read(settingsPath, name); err != nil {
					errs = append(errs, err)
				}
			}
			if configPath != "" {
				b, err := os.ReadFile(configPath)
				if err != nil {
					errs = append(errs, err)
				} else if _, fs := config.Parse(b); len(fs) > 0 {
					for _, f := range fs {
						errs = append(errs, fmt.Errorf("%s: %w", configPath, f))
					}
				}
			}
			err := errors.Join(errs...)
			if err == nil {
				fmt.Println("good")
			}
			return err
		}}
	c.Flags().StringVar(&settingsPath, "boot", "", "a boot file")
	c.Flags().StringVar(&configPath, "config", "", "a configuration")
	for _, check := range fileChecks {
		c.Flags().StringVar(&check.path, check.Flag, "", check.Usage)
	}
	return c
}
