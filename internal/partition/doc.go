// Package partition is what wires go out through. In a build with the tag "cuts", which only local fleets use, a file
// names the addresses that nothing gets to; shipped programs hold nothing of it (design 1).
package partition

// FileEnv names the file of cuts to a process of a local fleet: lines of an address and a percentage of what is lost.
const FileEnv = "SEAMSHUNT_CUTS"
