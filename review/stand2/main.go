// Command stand2 plays the cases 6 and above of the review against separate processes of
// ebonyscale. It has stand-ins for the platform's store, the runners and the clients, and
// judges by what these have seen.
//
// # Usage
//
//	stand2 CASE FOLDER
//
// It writes record.txt in the folder and exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun ends a case that takes too long.
const maxRun = 115 * time.Second

// playCase plays a case in the world and returns the violations of its rule. An error means
// that it could not run.
type playCase func(w *world) (violations []string, err error)

// cases are the cases by name.
var cases = map[string]playCase{
	"spoiled":  playSpoiled,
	"drained":  playDrained,
	"deadly":   playDeadly,
	"upgraded": playUpgraded,
	"crowded":  playCrowded,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays the case and returns the exit code.
func run(name, folder string) int {
	r, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand2:", err)
		return exitFailed
	}
	defer r.close()
	w, err := newWorld(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return fail(r, err)
	}
	defer w.close()
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := cases[name](w)
		done <- result{violations, err}
	}()
	select {
	case got := <-done:
		if got.err != nil {
			return fail(r, got.err)
		}
		for _, v := range got.violations {
			r.add("BROKEN %s", v)
		}
		if len(got.violations) > 0 {
			fmt.Printf("%s: the rule was broken %d times\n", name, len(got.violations))
			return exitBroken
		}
		r.add("HELD")
		fmt.Printf("%s: the rule held\n", name)
		return exitHeld
	case <-time.After(maxRun):
		return fail(r, fmt.Errorf("no result within %v", maxRun))
	}
}

// fail records why the case could not run and returns the exit code.
func fail(r *recorder, err error) int {
	r.add("FAILED %v", err)
	fmt.Fprintln(os.Stderr, "stand2:", err)
	return exitFailed
}
