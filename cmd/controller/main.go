// Command controller is the control plane.
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
	dump := func(d console.Daemon) { d.(*controller.Controller).LogRing.Dump() }
	root := console.Root(name, "the control plane: state on disk, operators, the platform, news")
	root.AddCommand(
		console.Run(name, func(b *boot.Boot) (console.Daemon, error) { return controller.New(b, nil) }, dump),
		console.Serve(func() (*boot.Boot, error) { return platform.Boot(os.Getenv(platform.SettingsEnv), name) },
			func(b *boot.Boot) (console.Daemon, error) {
				return controller.New(b, platform.New(os.Getenv(platform.SettingsEnv), name))
			},
			func(d console.Daemon, b *boot.Boot) { d.(*controller.Controller).Reload(b) }, dump),
		console.Check(name, &console.Look{Flag: "settings", What: "a settings file", At: func(path string) error {
			_, err := platform.Boot(path, name)
			return err
		}},
			&console.Look{Flag: "deploy", What: "a deploy file", At: platform.Deploy}))
	root.AddCommand(calls()...)
	console.Main(root)
}
