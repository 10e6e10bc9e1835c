// Command stand plays the cases of the review: it has stand-ins for the platform's store,
// the runners and the clients, and starts the product's processes with the command of the
// deploy file, all on loopback addresses.
//
//	target/review-stand CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD. The exit code is 1 if the
// rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// world is what a case is played with.
type world struct {
	trouble bool
	folder  string
	store   *store

	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken int
}

// cases are the cases by name.
var cases = map[string]func(w *world){}

// maxLength bounds the time of a case.
const maxLength = 115 * time.Second

var current *world

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "temporary folder:", err)
		os.Exit(2)
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", folder: folder, file: file, began: time.Now()}
	current = w
	time.AfterFunc(maxLength, func() { cannot("the case took too long") })
	w.log("case %s, trouble %t", os.Args[1], w.trouble)
	w.store = newStore()
	cases[os.Args[1]](w)
	code := 0
	if w.broken > 0 {
		code = 1
	}
	w.log("rule broken %d times, exit code %d", w.broken, code)
	finish(code)
}

// finish ends all processes and the program.
func finish(code int) {
	endAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(current.folder)
	}
	os.Exit(code)
}

// cannot ends the program as the case could not run.
func cannot(format string, arguments ...any) {
	if current == nil {
		fmt.Fprintf(os.Stderr, format+"\n", arguments...)
		os.Exit(2)
	}
	current.log("the case cannot run: "+format, arguments...)
	finish(2)
}

// log writes a line to the record and to the standard output.
func (w *world) log(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(w.file, line)
	fmt.Println(line)
}

// detail writes a line to the record only.
func (w *world) detail(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.file, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.file, format+"\n", arguments...)
}

// breaks records that the rule is broken once.
func (w *world) breaks(format string, arguments ...any) {
	w.mu.Lock()
	w.broken++
	w.mu.Unlock()
	w.log("BROKEN: "+format, arguments...)
}

// route is a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": "shop.example", "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "AimMs": 300, "Priority": 2,
		"Service": service, "Attempts": attempts, "Prompted": false, "Resumable": false,
	}
}

// configure writes a configuration.
func (w *world) configure(version int, routes ...map[string]any) {
	names := map[string]bool{}
	var services []map[string]any
	for _, r := range routes {
		name := r["Service"].(string)
		if !names[name] {
			names[name] = true
			services = append(services, map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 96, "protocol": "h1", "tls": false})
		}
	}
	w.store.put("config", "main", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// maxBodyBytes is the largest body that a client may send.
const maxBodyBytes = 4194304

// addRunner starts a runner and writes its entry, and writes it again at each heartbeat.
func (w *world) addRunner(id, service string) *runner {
	r := newRunner(id, service)
	w.list(r)
	return r
}

// list writes the entry of a runner.
func (w *world) list(r *runner) { w.store.put("servers", r.id, r.entry("Ready")) }
