// Command router runs a data-plane node.
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
	dump := func(daemon console.Daemon) { daemon.(*router.Router).LogRing.Dump() }
	root := console.NewRootCommand(name, "the data plane: takes prompts, admits, places and streams")
	root.AddCommand(
		console.NewRunCommand(name, func(s *settings.Settings) (console.Daemon, error) { return router.New(s, nil), nil }, dump),
		console.NewServeCommand(func() (*settings.Settings, error) {
			return platform.ReadProgramSettings(os.Getenv(platform.SettingsEnv), name)
		},
			func(s *settings.Settings) (console.Daemon, error) {
				return router.New(s, platform.New(os.Getenv(platform.SettingsEnv), name)), nil
			},
			func(daemon console.Daemon, s *settings.Settings) { daemon.(*router.Router).Reload(s) }, dump),
		console.NewCheckCommand(name, &console.FileCheck{Flag: "settings", Usage: "a settings file", Check: func(path string) error {
			_, err := platform.ReadProgramSettings(path, name)
			return err
		}}))
	console.Execute(root)
}
