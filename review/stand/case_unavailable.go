package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["unavailable"] = playUnavailable }

// playUnavailable has a runner fail a part of the requests that it has run with 503, as a
// service does whose own store is away, and a client that sends a claim again after a
// promise. Without the disruption the runner fails them with 500.
func playUnavailable(w *world) {
	w.configure(1, route("claims", "/claims/", "AtMostOnce", "jobs", 1500, 1))
	r := w.addRunner("i-1", "jobs")
	booked := map[string][]string{}
	count := 0
	r.answer = func(a http.ResponseWriter, n run) {
		time.Sleep(20 * time.Millisecond)
		claim := string(n.body)
		booked[claim] = append(booked[claim], n.attempt)
		if count++; count%4 != 0 {
			answer(a, 200, "booked "+claim)
			return
		}
		status := 500
		if w.trouble {
			status = 503
		}
		answer(a, status, "booked, but the confirmation cannot be read")
	}
	p := newProcess(w.folder, "entry-1", w.store.address)
	p.start()
	p.awaitReady()
	promised := map[string]int{}
	for i := range 40 {
		claim := fmt.Sprintf("claim %d", i)
		for range 2 {
			attempt := newAttempt()
			request := head("POST", "/claims/new", attempt, 1500, fmt.Sprintf("content-length: %d", len(claim))) + claim
			got := send(p.callers, attempt, request, 3*time.Second)
			w.detail("%s as %s: answered %d %q", claim, attempt, got.status, got.body)
			if got.status != 408 && got.status != 421 && got.status != 429 && got.status != 503 {
				break
			}
			promised[attempt] = got.status
		}
	}
	for _, n := range r.all() {
		if status := promised[n.attempt]; status != 0 {
			w.breaks("REFUSED: %s was answered %d and has run", n.attempt, status)
		}
	}
	twice := 0
	for _, list := range booked {
		if len(list) > 1 {
			twice++
		}
	}
	w.log("%d claims are booked twice", twice)
}
