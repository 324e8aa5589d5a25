// Command controller is the control plane.
package main

import (
	"os"

	"seamshunt/internal/console"
	"seamshunt/internal/control/controller"
	"seamshunt/internal/settings"
	"seamshunt/platform"
)

func main() {
	const name = "controller"
	dump := func(d console.Daemon) { d.(*controller.Controller).LogRing.Dump() }
	root := console.NewRootCommand(name, "the control plane: state on disk, operators, the platform, news")
	root.AddCommand(
		console.NewRunCommand(name, func(b *settings.Settings) (console.Daemon, error) { return controller.New(b, nil) }, dump),
		console.NewServeCommand(func() (*settings.Settings, error) {
			return platform.ReadProgramSettings(os.Getenv(platform.SettingsEnv), name)
		},
			func(b *settings.Settings) (console.Daemon, error) {
				return controller.New(b, platform.New(os.Getenv(platform.SettingsEnv), name))
			},
			func(d console.Daemon, b *settings.Settings) { d.(*controller.Controller).Reload(b) }, dump),
		console.NewCheckCommand(name, &console.FileCheck{Flag: "settings", Usage: "a settings file", Check: func(path string) error {
			_, err := platform.ReadProgramSettings(path, name)
			return err
		}},
			&console.FileCheck{Flag: "deploy", Usage: "a deploy file", Check: platform.CheckDeploy}))
	root.AddCommand(calls()...)
	console.Execute(root)
}
