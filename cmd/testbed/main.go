// Command testbed tries out seamshunt: test doubles, whole fleets on one machine, drills and checks of runs.
package main

import (
	"seamshunt/internal/console"
)

func main() {
	root := console.NewRootCommand("testbed", "tries out seamshunt: test doubles, fleets, drills, checks")
	root.AddCommand(workerCmd(), platformCmd(), callerCmd(), fleetCmd(), compareCmd(), drillCmd(), checkCmd(), hollowCmd(), siteCmd())
	console.Execute(root)
}
