// Command vane is the data plane.
package main

import (
	"seamshunt/internal/boot"
	"seamshunt/internal/console"
	"seamshunt/internal/vaned"
)

func main() {
	root := console.Root("vane", "the data plane: takes prompts, admits, places and streams")
	root.AddCommand(
		console.Run("vane", func(b *boot.Boot) (console.Daemon, error) { return vaned.New(b), nil },
			func(d console.Daemon) { d.(*vaned.Vane).Book.Dump() }),
		console.Check("vane"))
	console.Main(root)
}
