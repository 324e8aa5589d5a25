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

// callController sends a request to a running controller. It returns the answer's body and its Number header.
func callController(addr, method, path string, body []byte) ([]byte, string, error) {
	code, answer, number, err := transport.HTTPRequest(method, addr, path, body, nil, 10*time.Second)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", addr, err)
	}
	if code != 200 {
		return nil, "", errors.New(string(bytes.TrimSpace(answer)))
	}
	return answer, number, nil
}

func printJSON(body []byte) {
	var out bytes.Buffer
	if json.Indent(&out, bytes.TrimSpace(body), "", "  ") != nil {
		out.Reset()
		out.Write(body)
	}
	fmt.Println(out.String())
}

// operatorCommands returns the commands for operators.
func operatorCommands() []*cobra.Command {
	var addr string
	command := func(use, short string, args cobra.PositionalArgs, run func(args []string) error) *cobra.Command {
		cmd := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error { return run(args) }}
		cmd.Flags().StringVar(&addr, "at", "", "a controller's web address")
		_ = cmd.MarkFlagRequired("at")
		return cmd
	}
	request := func(method, path string, body []byte) error {
		answer, _, err := callController(addr, method, path, body)
		if err == nil {
			printJSON(answer)
		}
		return err
	}
	return []*cobra.Command{
		verifyCmd(),
		command("plan FILE", "propose a whole configuration; nothing changes yet", cobra.ExactArgs(1), func(args []string) error {
			body, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			return request("POST", "/v1/plan", body)
		}),
		command("evacuate ZONE", "propose that a zone gets nothing new", cobra.ExactArgs(1), func(args []string) error {
			return request("POST", "/v1/plan?zone="+args[0], []byte(`{"evacuated":true}`))
		}),
		command("readmit ZONE", "propose to take an evacuation back", cobra.ExactArgs(1), func(args []string) error {
			return request("POST", "/v1/plan?zone="+args[0], []byte(`{"evacuated":false}`))
		}),
		command("confirm PLAN", "apply a plan, if what it builds on still stands", cobra.ExactArgs(1), func(args []string) error {
			return request("POST", "/v1/confirm", fmt.Appendf(nil, `{"plan":%q}`, args[0]))
		}),
		command("show", "write out the configuration in force, byte for byte", cobra.NoArgs, func([]string) error {
			body, number, err := callController(addr, "GET", "/v1/config", nil)
			if err == nil {
				fmt.Fprintln(os.Stderr, "number", number)
				_, err = os.Stdout.Write(body)
			}
			return err
		}),
		command("promises", "say how each promise is kept, over all routers", cobra.NoArgs, func([]string) error {
			return request("GET", "/v1/promises", nil)
		}),
		command("status", "say how this controller sees the fleet", cobra.NoArgs, func([]string) error {
			return request("GET", "/status", nil)
		}),
	}
}
