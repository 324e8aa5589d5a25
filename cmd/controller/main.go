// Command controller runs a control-plane process and has the operators' commands.
package main

import (
	"os"

	"seamshunt/internal/boot"
	"seamshunt/internal/console"
	"seamshunt/internal/control/controller"
	"seamshunt/platform"
)

func main() {
	const name = "controller"
	dump := func(daemon console.Daemon) { daemon.(*controller.Controller).LogRing.Dump() }
	root := console.Root(name, "the control plane: state on disk, operators, the platform, news")
	root.AddCommand(
		console.Run(name, func(nodeSettings *boot.Boot) (console.Daemon, error) { return controller.New(nodeSettings, nil) }, dump),
		console.Serve(func() (*boot.Boot, error) { return platform.Boot(os.Getenv(platform.SettingsEnv), name) },
			func(nodeSettings *boot.Boot) (console.Daemon, error) {
				return controller.New(nodeSettings, platform.New(os.Getenv(platform.SettingsEnv), name))
			},
			func(daemon console.Daemon, nodeSettings *boot.Boot) {
				daemon.(*controller.Controller).Reload(nodeSettings)
			}, dump),
		console.Check(name, &console.Look{Flag: "settings", What: "a settings file", At: func(path string) error {
			_, err := platform.Boot(path, name)
			return err
		}},
			&console.Look{Flag: "deploy", What: "a deploy file", At: platform.Deploy}))
	root.AddCommand(operatorCommands()...)
	console.Main(root)
}
