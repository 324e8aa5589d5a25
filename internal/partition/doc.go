// Package partition opens all outgoing connections. In a build with the tag "cuts", which only local fleets use, it
// simulates network partitions and packet loss: a file lists the addresses that can't be reached. Shipped programs
// contain none of that code (docs/design.md, section 1).
package partition

// FileEnv is the environment variable with the path of the partition file of a process. Each line of the file has an
// address and the percentage of packets to it that are lost; 100 is a partition.
const FileEnv = "SEAMSHUNT_CUTS"
