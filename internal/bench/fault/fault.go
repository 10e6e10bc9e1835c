// Package fault has the tests that inject faults into a fleet in virtual time:
// random schedules, a fault at each step of each protocol, and variants of the
// system that are broken on purpose and that the checkers have to detect.
//
// # Usage
//
//	go test ./internal/bench/fault -run Fault -v -args -seeds 200 -from 1
//
// prints how often each promise of package judge was broken and by which seed.
// Package world simulates the fleet.
package fault
