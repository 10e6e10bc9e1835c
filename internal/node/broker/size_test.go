package broker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/kept"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// dropMessages is a Coordination whose messages all get lost.
type dropMessages struct{}

func (dropMessages) Request(string, PermitRequest) {}
func (dropMessages) Grant(string, PermitGrant)     {}
func (dropMessages) Release(string, PermitRelease) {}

// BenchmarkCoordinator measures a permit from its request to its release, for fleets
// of several sizes that are busy.
func BenchmarkCoordinator(b *testing.B) {
	for _, engines := range []int{20, 52, 140, 488} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkCoordinator(b, engines) })
	}
}

func benchmarkCoordinator(b *testing.B, engines int) {
	f := newFixture(b)
	f.Coordination = dropMessages{}
	events := make([]roster.Event, engines)
	for i := range events {
		role := roster.Decode
		if i%3 == 0 {
			role = roster.Prefill
		}
		events[i].Server = roster.Server{
			ID: fmt.Sprint("i-", i), Born: 1, Service: "model", Zone: "calicut", Slots: 64, State: roster.Ready, Role: role,
			Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}
	}
	f.roster.Update(time.Now(), 1, events, roster.Grace{})
	for _, e := range events {
		f.recordPrefills(e.Server.ID, 20*time.Millisecond, 50e3)
	}
	var waiting []uint64
	number := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		number++
		chain := []kept.Part{{Hash: 1, Tokens: 200}, {Hash: 2 + number%100, Tokens: 6000}}
		f.HandleRequest("peer", PermitRequest{
			Number: number, Service: "model", OwnTokens: 2000, Chain: chain,
			Target: 500 * time.Millisecond, StartWithin: 400 * time.Millisecond, MaxWait: 300 * time.Millisecond, TimeLeft: 4 * time.Second,
		})
		waiting = append(waiting, number)
		if len(waiting) > engines {
			f.HandleRelease("peer", PermitRelease{Number: waiting[0], Prefilled: true})
			waiting = waiting[1:]
		}
	}
}
