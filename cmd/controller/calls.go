package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"seamshunt/internal/cluster/transport"
)

// call speaks to a running controller's operators' door.
func call(at, method, path string, body []byte) ([]byte, string, error) {
	code, b, num, err := transport.HTTPRequest(method, at, path, body, nil, 10*time.Second)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", at, err)
	}
	if code != 200 {
		return nil, "", errors.New(string(bytes.TrimSpace(b)))
	}
	return b, num, nil
}

func show(b []byte) {
	var out bytes.Buffer
	if json.Indent(&out, bytes.TrimSpace(b), "", "  ") != nil {
		out.Reset()
		out.Write(b)
	}
	fmt.Println(out.String())
}

// calls are the operators' commands.
func calls() []*cobra.Command {
	var at string
	one := func(use, short string, args cobra.PositionalArgs, f func(a []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, a []string) error { return f(a) }}
		c.Flags().StringVar(&at, "at", "", "a controller's web address")
		_ = c.MarkFlagRequired("at")
		return c
	}
	ask := func(method, path string, body []byte) error {
		b, _, err := call(at, method, path, body)
		if err == nil {
			show(b)
		}
		return err
	}
	return []*cobra.Command{
		verifyCmd(),
		one("plan FILE", "propose a whole configuration; nothing changes yet", cobra.ExactArgs(1), func(a []string) error {
			b, err := os.ReadFile(a[0])
			if err != nil {
				return err
			}
			return ask("POST", "/v1/plan", b)
		}),
		one("evacuate ZONE", "propose that a zone gets nothing new", cobra.ExactArgs(1), func(a []string) error {
			return ask("POST", "/v1/plan?zone="+a[0], []byte(`{"evacuated":true}`))
		}),
		one("readmit ZONE", "propose to take an evacuation back", cobra.ExactArgs(1), func(a []string) error {
			return ask("POST", "/v1/plan?zone="+a[0], []byte(`{"evacuated":false}`))
		}),
		one("confirm PLAN", "apply a plan, if what it builds on still stands", cobra.ExactArgs(1), func(a []string) error {
			return ask("POST", "/v1/confirm", fmt.Appendf(nil, `{"plan":%q}`, a[0]))
		}),
		one("show", "write out the configuration in force, byte for byte", cobra.NoArgs, func([]string) error {
			b, num, err := call(at, "GET", "/v1/config", nil)
			if err == nil {
				fmt.Fprintln(os.Stderr, "number", num)
				_, err = os.Stdout.Write(b)
			}
			return err
		}),
		one("promises", "say how each promise is kept, over all routers", cobra.NoArgs, func([]string) error {
			return ask("GET", "/v1/promises", nil)
		}),
		one("status", "say how this controller sees the fleet", cobra.NoArgs, func([]string) error {
			return ask("GET", "/status", nil)
		}),
	}
}
