// Package fault holds the tests that strike a fleet with failures in virtual
// time: random schedules, a strike at each step of each protocol, and broken
// variants of the system that the checkers have to catch.
//
// # Usage
//
//	go test ./internal/bench/fault -run Fault -v -args -seeds 200 -from 1
//
// prints how often each promise was broken, and by which seed. The fleet is
// that of package world.
package fault
