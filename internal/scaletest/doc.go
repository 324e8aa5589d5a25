// Package scaletest runs many nodes in one process to measure what each role costs at a given site size. The nodes run
// the daemons' own state machines for membership, configuration push, capacity coordinators, idempotency claims and
// control state; there is no event loop behind them, and frames are counted instead of sent (docs/CAPACITY.md).
package scaletest
