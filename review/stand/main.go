//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	kept   = 0
	broken = 1
	failed = 2
)

// cases by name; each gives its exit code.
var cases = map[string]func(record string, trouble bool) (int, error){
	"stale-withdrawal": staleWithdrawal,
	"descriptors":      descriptors,
	"many-routes":      manyRoutes,
	"unsynced":         unsynced,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = failed
	}
	fmt.Println(map[int]string{kept: "kept", broken: "BROKEN", failed: "could not run"}[code])
	os.Exit(code)
}
