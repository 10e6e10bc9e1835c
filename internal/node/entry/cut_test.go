package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// cutSender is the links of one server to the engines, each of which can be cut.
type cutSender struct {
	Sender
	cut map[string]bool
}

func (s *cutSender) Send(ctx context.Context, server spec.BackendServer, c engine.Call) (*engine.Response, error) {
	if s.cut[server.Name] {
		return nil, &call.Error{Stage: call.StageDialing, Err: syscall.ECONNREFUSED}
	}
	return s.Sender.Send(ctx, server, c)
}

// cutServer is a server with its own links.
type cutServer struct {
	core  *Core
	links *cutSender
	url   string
	sent  uint64
}

func newCutServer(t *testing.T) *cutServer {
	core, sender := newFragileCore(t)
	s := &cutServer{core: core, links: &cutSender{Sender: sender, cut: map[string]bool{}}}
	core.Sender = s.links
	server := &Server{Core: core, Limits: setup.Limits{MaxBody: 1 << 20, MaxBodies: 1 << 24, MaxHeader: 1 << 14, HeaderTimeout: time.Second, IdleTimeout: time.Second}}
	server.Prepare()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	s.url = "http://" + listener.Addr().String() + "/v1/chat/completions"
	return s
}

// post sends a request to the server and returns the status and the outcome. The engines that
// are not cut off report before.
func (s *cutServer) post(t *testing.T) (status int, outcome string) {
	s.sent++
	for k := range 3 {
		if name := fmt.Sprint("e", k); !s.links.cut[name] {
			s.core.Estimates.ApplyReport(time.Now(), engine.Report{Engine: name, Incarnation: 1, Sequence: s.sent, Models: []engine.Loaded{{Model: "m", Version: 1}}})
		}
	}
	body := `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`
	response, err := http.Post(s.url, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get(OutcomeHeader)
}

// TestServeCutFromSomeEngines guards against requests that fail at a server whose links are cut
// one by one, while it reaches an engine.
func TestServeCutFromSomeEngines(t *testing.T) {
	first, second := newCutServer(t), newCutServer(t)
	for _, name := range []string{"", "e0", "e1"} {
		first.links.cut[name] = true
		for range 10 {
			status, _ := first.post(t)
			assert.Equal(t, 200, status, "cut: %v", first.links.cut)
			status, _ = second.post(t)
			assert.Equal(t, 200, status)
		}
	}
}

// TestServeCutFromAllEngines guards against requests that are rejected at a server that reaches
// no engine while another one does.
func TestServeCutFromAllEngines(t *testing.T) {
	first, second := newCutServer(t), newCutServer(t)
	for k := range 3 {
		first.links.cut[fmt.Sprint("e", k)] = true
	}
	for range 10 {
		status, _ := second.post(t)
		assert.Equal(t, 200, status, "it reaches all engines")
		status, outcome := first.post(t)
		assert.Equal(t, 200, status, outcome)
	}
}
