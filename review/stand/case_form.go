package main

import (
	"bytes"
	"fmt"
	"time"
)

func init() { cases["form"] = playForm }

// playForm sends claims with a form as their body, as browsers and curl -F send it. Without
// the disruption the same bytes are sent under another content type.
func playForm(w *world) {
	w.configure(1, route("claims", "/claims/", "AtMostOnce", "jobs", 1500, 1))
	r := w.addRunner("i-1", "jobs")
	p := newProcess(w.folder, "entry-1", w.store.address)
	p.start()
	p.awaitReady()
	boundary := "------------------------d74496d66958873e"
	kind := "application/octet-stream"
	if w.trouble {
		kind = "multipart/form-data; boundary=" + boundary
	}
	const requests = 20
	sent := map[string][]byte{}
	for i := range requests {
		var body bytes.Buffer
		fmt.Fprintf(&body, "--%s\r\nContent-Disposition: form-data; name=\"photo\"; filename=\"hub-%d.txt\"\r\nContent-Type: text/plain\r\n\r\nlog of controller %d\r\n", boundary, i, i)
		fmt.Fprintf(&body, "--%s\r\nContent-Disposition: form-data; name=\"claim\"\r\n\r\n%d\r\n", boundary, 1000+i)
		fmt.Fprintf(&body, "--%s\r\nContent-Disposition: form-data; name=\"part\"\r\nContent-Type: application/json\r\n\r\n{\"part\":\"hub motor\"}\r\n", boundary)
		fmt.Fprintf(&body, "--%s--\r\n", boundary)
		attempt := newAttempt()
		sent[attempt] = body.Bytes()
		request := head("POST", "/claims/new", attempt, 1500, "content-type: "+kind, fmt.Sprintf("content-length: %d", body.Len())) + body.String()
		got := send(p.callers, attempt, request, 3*time.Second)
		w.detail("sent %s with %d bytes, answered %d %q %v", attempt, body.Len(), got.status, got.body, got.err)
	}
	w.detail("body of one request as the client sent it:\n%q", sent[r.first().attempt])
	w.detail("the same body as the runner got it:\n%q", r.first().body)
	for _, n := range r.all() {
		if !bytes.Equal(sent[n.attempt], n.body) {
			w.breaks("UNASKED: %s ran with a changed body: %d bytes sent, %d run", n.attempt, len(sent[n.attempt]), len(n.body))
		} else {
			w.detail("%s ran with the client's body", n.attempt)
		}
	}
	if len(r.all()) != requests {
		cannot("%d of %d requests ran", len(r.all()), requests)
	}
}

// first returns the first request that the runner has run.
func (r *runner) first() run {
	all := r.all()
	if len(all) == 0 {
		cannot("no request ran")
	}
	return all[0]
}
