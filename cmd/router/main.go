// Command router is the data plane.
package main

import (
	"os"

	"seamshunt/internal/console"
	"seamshunt/internal/router"
	"seamshunt/internal/settings"
	"seamshunt/platform"
)

func main() {
	const name = "router"
	dump := func(d console.Daemon) { d.(*router.Router).LogRing.Dump() }
	root := console.NewRootCommand(name, "the data plane: takes prompts, admits, places and streams")
	root.AddCommand(
		console.NewRunCommand(name, func(b *settings.Settings) (console.Daemon, error) { return router.New(b, nil), nil }, dump),
		console.NewServeCommand(func() (*settings.Settings, error) {
			return platform.ReadProgramSettings(os.Getenv(platform.SettingsEnv), name)
		},
			func(b *settings.Settings) (console.Daemon, error) {
				return router.New(b, platform.New(os.Getenv(platform.SettingsEnv), name)), nil
			},
			func(d console.Daemon, b *settings.Settings) { d.(*router.Router).Reload(b) }, dump),
		console.NewCheckCommand(name, &console.FileCheck{Flag: "settings", Usage: "a settings file", Check: func(path string) error {
			_, err := platform.ReadProgramSettings(path, name)
			return err
		}}))
	console.Execute(root)
}
