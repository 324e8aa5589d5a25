// Command testbed tries seamshunt out: stand-ins, whole fleets on one machine, drills and the judging of runs.
package main

import (
	"seamshunt/internal/console"
)

func main() {
	root := console.NewRootCommand("testbed", "tries seamshunt out: stand-ins, fleets, drills, checks")
	root.AddCommand(workerCmd(), platformCmd(), callerCmd(), fleetCmd(), compareCmd(), drillCmd(), checkCmd(), hollowCmd(), siteCmd())
	console.Execute(root)
}
