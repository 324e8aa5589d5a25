// Package shield is what wires go out through. In a build with the tag "cuts", which only local fleets use, a file
// names the addresses that nothing gets to; shipped programs hold nothing of it (design 1).
package shield

// Env names the file of cuts to a process of a local fleet: lines of an address and a percentage of what is lost.
const Env = "SEAMSHUNT_CUTS"
