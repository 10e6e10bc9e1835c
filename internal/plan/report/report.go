// Package report decides on the usage reports of windows of time: how many requests of
// each client account began to run in a window.
//
// # Usage
//
//	r := report.New(window, counts)
//	send(r.Body)
package report

import "encoding/json"

// Report is the usage report of a window. Its bytes are fixed before it is first sent.
type Report struct {
	// Window is the number of the window, Body what is sent.
	Window int64
	Body   string
}

// New returns the report of a window with the number of requests of each account. Equal
// counts give equal bytes.
func New(window int64, counts map[string]uint64) Report {
	if counts == nil {
		counts = map[string]uint64{}
	}
	// Marshal sorts the keys of a map and cannot fail for this type.
	body, _ := json.Marshal(struct {
		Window int64
		Counts map[string]uint64
	}{window, counts})
	return Report{Window: window, Body: string(body)}
}
