// Package console is what the commands of both programs share: exit codes, running till a warning, checks.
package console

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"seamshunt/internal/boot"
	"seamshunt/internal/forecast"
)

// Version of the programs.
const Version = "0.1.0"

// ErrPromise ends a command with exit code 1: it ran, and what it looked for does not hold.
var ErrPromise = errors.New("a promise does not hold")

// Root begins a program's command line.
func Root(name, short string) *cobra.Command {
	c := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(&cobra.Command{Use: "version", Short: "say which version this is", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { fmt.Println(name, Version) }})
	return c
}

// Main runs a command line: 0 for good, 1 for a promise that fails, 2 for bad input.
func Main(c *cobra.Command) {
	err := c.Execute()
	switch {
	case err == nil:
	case errors.Is(err, ErrPromise):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// Daemon is a program that runs until it is warned.
type Daemon interface {
	Start() error
	Drain()
}

// Run adds the command that runs a program from its boot file.
func Run(name string, make func(*boot.Boot) (Daemon, error), dump func(Daemon)) *cobra.Command {
	var path string
	c := &cobra.Command{Use: "run", Short: "run with a boot file until a warning (SIGTERM)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			b, err := boot.Read(path, name)
			if err != nil {
				return err
			}
			d, err := make(b)
			if err != nil {
				return err
			}
			warn := newSignals(syscall.SIGTERM, syscall.SIGINT)
			book := newSignals(syscall.SIGUSR1)
			if err := d.Start(); err != nil {
				return err
			}
			for {
				select {
				case <-warn:
					d.Drain()
					return nil
				case <-book:
					dump(d)
				}
			}
		}}
	c.Flags().StringVar(&path, "boot", "", "the boot file")
	_ = c.MarkFlagRequired("boot")
	return c
}

func newSignals(s ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 4)
	signal.Notify(c, s...)
	return c
}

// Check adds the command that checks files and starts nothing.
func Check(name string) *cobra.Command {
	var bootPath, configPath string
	c := &cobra.Command{Use: "check", Short: "check a boot file or a configuration", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if bootPath == "" && configPath == "" {
				return errors.New("--boot or --config is wanted")
			}
			var bad []error
			if bootPath != "" {
				if _, err := boot.Read(bootPath, name); err != nil {
					bad = append(bad, err)
				}
			}
			if configPath != "" {
				b, err := os.ReadFile(configPath)
				if err != nil {
					bad = append(bad, err)
				} else if _, fs := forecast.Read(b); len(fs) > 0 {
					for _, f := range fs {
						bad = append(bad, fmt.Errorf("%s: %w", configPath, f))
					}
				}
			}
			if len(bad) == 0 {
				fmt.Println("good")
			}
			return errors.Join(bad...)
		}}
	c.Flags().StringVar(&bootPath, "boot", "", "a boot file")
	c.Flags().StringVar(&configPath, "config", "", "a configuration")
	return c
}
