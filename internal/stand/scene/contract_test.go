package scene_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
	"ebonyscale.example/ebonyscale/internal/stand/scene"
)

// servers is the part of engine.Client that the system uses.
type servers interface {
	Send(ctx context.Context, server spec.BackendServer, call engine.Call) (*engine.Response, error)
	Report(ctx context.Context, server spec.BackendServer, since uint64) (engine.Report, error)
	Order(ctx context.Context, server spec.BackendServer, order engine.Order) error
}

const files = `
[Deployment d]
[Model m]
Version = 1
[Service s]
Prefix = /s/
[BackendServer checks]
Address = 127.0.63.1:7100
AvailabilityZone = z
Models = m
ChecksFence = Yes
[BackendServer ignores]
Address = 127.0.63.2:7100
AvailabilityZone = z
Models = m
[BackendServer p]
Address = 127.0.63.3:7200
AvailabilityZone = z
Service = s
`

// ownFiles returns the files with addresses that no other run at the same time has.
func ownFiles() []byte {
	pid := os.Getpid()
	return []byte(strings.ReplaceAll(files, "127.0.63.", fmt.Sprintf("127.%d.%d.", 128+pid>>8&63, pid&255)))
}

// read reads the body of a response.
func read(t *testing.T, response *engine.Response) (string, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestContract checks that the stand-in engines behave the same when they are
// called directly and when they are called by engine.Client over the network.
func TestContract(t *testing.T) {
	for _, network := range []bool{false, true} {
		t.Run(map[bool]string{false: "direct", true: "network"}[network], func(t *testing.T) {
			d, err := spec.Parse([]spec.File{{Name: "d.ini", Data: ownFiles()}})
			require.NoError(t, err)
			s := &scene.Scene{Deployment: d, Vendor: "Instant"}
			var api servers = s
			if network {
				api = &engine.Client{}
				require.NoError(t, s.Listen(scene.OnlyEngines))
				t.Cleanup(s.Close)
			} else {
				s.Build()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			s.Start(ctx)
			testEngines(ctx, t, s, api)
		})
	}
}

// testEngines checks streams, resuming, truncation, rejection and reports.
func testEngines(ctx context.Context, t *testing.T, s *scene.Scene, api servers) {
	checks, _ := s.Deployment.Server("checks")
	ignores, _ := s.Deployment.Server("ignores")
	request := engine.Call{ID: "r-1", Method: "POST", Path: "/v1/completions", Body: []byte(`{"model":"m","stream":true,"prompt":"hub","max_tokens":3}`)}

	response, err := api.Send(ctx, checks, request)
	require.NoError(t, err)
	assert.Equal(t, 200, response.Status)
	complete, err := read(t, response)
	require.NoError(t, err)
	assert.Equal(t, 3, strings.Count(complete, `"id":"r-1"`))
	assert.True(t, strings.HasSuffix(complete, "data: [DONE]\n\n"))

	request.Offset = 2
	response, err = api.Send(ctx, ignores, request)
	require.NoError(t, err)
	rest, err := read(t, response)
	require.NoError(t, err)
	assert.True(t, strings.HasSuffix(complete, rest), "a resume on another engine continues the same text")
	assert.Equal(t, 1, strings.Count(rest, `"id":"r-1"`))
	request.Offset = 0

	s.Engines["checks"].SetFaults(model.Faults{CutAfter: 1})
	response, err = api.Send(ctx, checks, request)
	require.NoError(t, err)
	_, err = read(t, response)
	require.Error(t, err, "a truncated response ends with an error")
	assert.Equal(t, call.StageReading, call.StageOf(err))

	other := request
	other.Body = []byte(`{"model":"none","stream":true,"prompt":"hub"}`)
	response, err = api.Send(ctx, checks, other)
	require.NoError(t, err)
	assert.True(t, response.NotRun, "a request to a model that is not loaded is rejected without running")
	response.Body.Close()

	report, err := api.Report(ctx, checks, engine.NoEvents)
	require.NoError(t, err)
	assert.Equal(t, "checks", report.Engine)
	assert.Equal(t, spec.Mixed, report.Role)
	testOrders(ctx, t, api, checks, ignores)

	s.Engines["checks"].SetFaults(model.Faults{Crashed: true})
	_, err = api.Send(ctx, checks, request)
	require.Error(t, err)
}

// testOrders checks rejections of orders by an engine that checks fencing tokens
// and one that ignores them.
func testOrders(ctx context.Context, t *testing.T, api servers, checks, ignores spec.BackendServer) {
	order := func(id string, fence uint64) engine.Order {
		return engine.Order{ID: id, Fence: fence, Role: spec.Prefill}
	}
	for _, server := range []spec.BackendServer{checks, ignores} {
		require.NoError(t, api.Order(ctx, server, order("a", 7)))
		require.ErrorIs(t, api.Order(ctx, server, order("b", 7)), engine.ErrBusy)
		require.NoError(t, api.Order(ctx, server, order("a", 7)), "the same order again")
		require.Eventually(t, func() bool {
			report, err := api.Report(ctx, server, engine.NoEvents)
			return err == nil && !report.Changing && report.OrderID == "a" && report.Role == spec.Prefill
		}, 10*time.Second, 20*time.Millisecond)
	}
	require.ErrorIs(t, api.Order(ctx, checks, order("c", 6)), engine.ErrStaleFence)
	require.NoError(t, api.Order(ctx, ignores, order("c", 6)), "this engine ignores the fencing token")
	late := order("d", 9)
	late.SendBefore = time.Now().Add(-time.Millisecond)
	require.Error(t, api.Order(ctx, checks, late), "nothing is sent after SendBefore")
	report, err := api.Report(ctx, checks, engine.NoEvents)
	require.NoError(t, err)
	assert.Equal(t, "a", report.OrderID)
}

// TestPlainContract checks that the stand-ins of plain backend servers behave the
// same when they are called directly and over the network.
func TestPlainContract(t *testing.T) {
	for _, network := range []bool{false, true} {
		t.Run(map[bool]string{false: "direct", true: "network"}[network], func(t *testing.T) {
			d, err := spec.Parse([]spec.File{{Name: "d.ini", Data: ownFiles()}})
			require.NoError(t, err)
			s := &scene.Scene{Deployment: d}
			var api servers = s
			if network {
				api = &engine.Client{}
				require.NoError(t, s.Listen(scene.OnlyPlains))
				t.Cleanup(s.Close)
			} else {
				s.Build()
			}
			server, _ := d.Server("p")
			request := engine.Call{ID: "r-1", Method: "POST", Path: "/s/orders", Body: []byte("x"), AtMostOnce: true}
			response, err := api.Send(t.Context(), server, request)
			require.NoError(t, err)
			text, err := read(t, response)
			require.NoError(t, err)
			assert.Contains(t, text, "r-1")
			s.Plains["p"].SetFaults(plain.Faults{Refuse: true})
			response, err = api.Send(t.Context(), server, request)
			require.NoError(t, err)
			assert.True(t, response.NotRun)
			response.Body.Close()
			s.Plains["p"].SetFaults(plain.Faults{LoseAnswers: 1})
			_, err = api.Send(t.Context(), server, request)
			require.Error(t, err)
			assert.NotEqual(t, call.StageDialing, call.StageOf(err), "the request may have run")
			assert.Len(t, s.Plains["p"].Executions(), 2)
		})
	}
}
