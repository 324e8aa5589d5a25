// Command controller runs a control-plane process and has the operators' commands.
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
	dump := func(daemon console.Daemon) { daemon.(*controller.Controller).LogRing.Dump() }
	root := console.NewRootCommand(name, "the control plane: state on disk, operators, the platform, news")
	root.AddCommand(
		console.NewRunCommand(name, func(nodeSettings *settings.Settings) (console.Daemon, error) {
			return controller.New(nodeSettings, nil)
		}, dump),
		console.NewServeCommand(func() (*settings.Settings, error) {
			return platform.ReadProgramSettings(os.Getenv(platform.SettingsEnv), name)
		},
			func(nodeSettings *settings.Settings) (console.Daemon, error) {
				return controller.New(nodeSettings, platform.New(os.Getenv(platform.SettingsEnv), name))
			},
			func(daemon console.Daemon, nodeSettings *settings.Settings) {
				daemon.(*controller.Controller).Reload(nodeSettings)
			}, dump),
		console.NewCheckCommand(name, &console.FileCheck{Flag: "settings", Usage: "a settings file", Check: func(path string) error {
			_, err := platform.ReadProgramSettings(path, name)
			return err
		}},
			&console.FileCheck{Flag: "deploy", Usage: "a deploy file", Check: platform.CheckDeploy}))
	root.AddCommand(operatorCommands()...)
	console.Execute(root)
}
