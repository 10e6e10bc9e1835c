package core

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/scale"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// TestObserveServices guards against a load that lacks that of the peers or the queues, and
// against silent processes that look idle.
func TestObserveServices(t *testing.T) {
	n, now := newNode(t), time.Now()
	_, ok := n.observeServices(now)
	assert.False(t, ok, "nothing is known before the lists")
	(&tableView{n}).Replace(page(store.Object{Key: "config/main", Value: []byte(`{"Version":1,"Services":[{"Name":"t"},
		{"Name":"s","Engine":{"Slots":4},"Scaling":{"Max":9,"BootSeconds":4,"SpotPrice":0.1,"ZonePrices":{"calicut":1,"other":1}}}]}`)}), false)
	_, ok = n.observeServices(now)
	assert.False(t, ok)
	engine := `,"AvailabilityZone":"calicut","Slots":4,"Role":`
	(&serversView{n}).Replace(page(
		serverEntry("i-1", engine+`"Decode"`), serverEntry("i-2", engine+`"Decode","Spot":true`),
		serverEntry("i-3", engine+`"Decode","Spot":true,"State":"Leaving"`), serverEntry("i-4", engine+`"Prefill"`),
		store.Object{Key: "servers/i-5", Value: []byte(`{"Service":"t","Address":"10.0.0.1:80","Slots":1,"State":"Ready","born":1}`)},
	), false)
	for _, m := range []peers.Member{{Name: "b", AvailabilityZone: "calicut"}, {Name: "c", AvailabilityZone: "other"}, {Name: "d", AvailabilityZone: "other"}} {
		m.Address = netip.MustParseAddrPort("10.0.0.2:7660")
		n.peers.Set(m)
	}
	server, _ := n.roster.Find("i-1", 1)
	n.usage.Start(now, server, usage.Long)
	for _, from := range []string{"b", "c"} {
		require.True(t, n.peers.Apply(now, &wire.News{
			From: from, Incarnation: 1, Sequence: 1,
			Loads: []*wire.ServerLoad{{Server: roster.Key("i-1", 1), Running: 1}, {Server: roster.Key("i-4", 1), Running: 2, Reading: 2}},
			Lines: []*wire.LineLoad{{Line: broker.QueueHash("s", roster.Decode, usage.Long), Waiting: 2}},
		}))
	}
	list, ok := n.observeServices(now)
	require.True(t, ok)
	require.Len(t, list, 1, "only services with Scaling")
	o := list[0]
	assert.Equal(t, "s", o.Service)
	assert.InDelta(t, 3.0/4+4.0/4, o.Load[roster.Decode], 1e-9, "own and peers' requests, and the queues")
	assert.InDelta(t, 1, o.Load[roster.Prefill], 1e-9)
	assert.Equal(t, scale.Zone{
		OnDemand: scale.Counts{roster.Decode: 1, roster.Prefill: 1}, Spot: scale.Counts{roster.Decode: 1}, SpotLeaving: 1,
	}, o.Zones["calicut"])
	assert.InDelta(t, 0.5, o.Zones["other"].Silent, 1e-9, "d is silent")
}

// TestFaultyScalingIsLogged guards against a service that silently is not scaled.
func TestFaultyScalingIsLogged(t *testing.T) {
	n := newNode(t)
	var output bytes.Buffer
	n.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&output), zap.InfoLevel))
	(&tableView{n}).Replace(page(store.Object{Key: "config/main", Value: []byte(`{"Version":1,"Services":[{"Name":"s","Scaling":{"Max":-1}}]}`)}), false)
	assert.Equal(t, uint64(1), n.Version())
	assert.Contains(t, output.String(), `service \"s\": Scaling.Max: negative`)
}
