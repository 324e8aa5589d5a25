// Command router runs a data-plane node.
package main

import (
	"os"

	"seamshunt/internal/boot"
	"seamshunt/internal/console"
	"seamshunt/internal/router"
	"seamshunt/platform"
)

func main() {
	const name = "router"
	dump := func(d console.Daemon) { d.(*router.Router).LogRing.Dump() }
	root := console.Root(name, "the data plane: takes prompts, admits, places and streams")
	root.AddCommand(
		console.Run(name, func(b *boot.Boot) (console.Daemon, error) { return router.New(b, nil), nil }, dump),
		console.Serve(func() (*boot.Boot, error) { return platform.Boot(os.Getenv(platform.SettingsEnv), name) },
			func(b *boot.Boot) (console.Daemon, error) {
				return router.New(b, platform.New(os.Getenv(platform.SettingsEnv), name)), nil
			},
			func(d console.Daemon, b *boot.Boot) { d.(*router.Router).Reload(b) }, dump),
		console.Check(name, &console.Look{Flag: "settings", What: "a settings file", At: func(path string) error {
			_, err := platform.Boot(path, name)
			return err
		}}))
	console.Main(root)
}
