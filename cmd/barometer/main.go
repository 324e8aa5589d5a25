// Command barometer is the control plane.
package main

import (
	"seamshunt/internal/barod"
	"seamshunt/internal/boot"
	"seamshunt/internal/console"
)

func main() {
	root := console.Root("barometer", "the control plane: state on disk, operators, the platform, news")
	root.AddCommand(
		console.Run("barometer", func(b *boot.Boot) (console.Daemon, error) { return barod.New(b, nil) },
			func(d console.Daemon) { d.(*barod.Barometer).Book.Dump() }),
		console.Check("barometer"))
	root.AddCommand(calls()...)
	console.Main(root)
}
