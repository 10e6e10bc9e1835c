package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/detail"
)

// fakeExplainer responds with an explanation or an error, and keeps the query.
type fakeExplainer struct {
	query *wire.ExplainQuery
	err   error
}

func (f *fakeExplainer) Explain(_ context.Context, _ netip.AddrPort, q *wire.ExplainQuery) (*wire.ExplainAnswer, error) {
	f.query = q
	data, _ := json.Marshal(broker.Explanation{Route: "chat", Decision: detail.Decision{Action: detail.Send, Server: "p1"}})
	return &wire.ExplainAnswer{Data: data}, f.err
}

// runExplain runs the command with the flags.
func runExplain(f *fakeExplainer, args ...string) (string, error) {
	c, flags, out := &explainCommand{}, flag.NewFlagSet("explain", flag.ContinueOnError), &bytes.Buffer{}
	flags.SetOutput(io.Discard)
	c.SetFlags(flags)
	if err := flags.Parse(args); err != nil {
		return "", err
	}
	err := c.run(context.Background(), f, flags.Args(), out)
	return out.String(), err
}

// TestExplainErrorsNameTheFlag guards against errors that don't say which flag is wrong.
func TestExplainErrorsNameTheFlag(t *testing.T) {
	valid := []string{"-node", "10.0.0.1:7660", "-host", "h", "-path", "/chat/"}
	for _, c := range []struct {
		args []string
		err  error
		want string
	}{
		{nil, nil, "-host"},
		{[]string{"-host", "h"}, nil, "-path"},
		{[]string{"-host", "h", "-path", "chat"}, nil, "-path"},
		{append(valid, "more"), nil, `"more"`},
		{append(valid, "-node", "x"), nil, "-node"},
		{append(valid, "-tokens", "5"), nil, "-tokens"},
		{append(valid, "-tokens", "5,-1"), nil, "-tokens"},
		{append(valid, "-tokens", "99999999999,1"), nil, "-tokens"},
		{append(valid, "-parts", "a"), nil, "-parts"},
		{append(valid, "-parts", "a:b"), nil, "-parts"},
		{append(valid, "-parts", ":5"), nil, "-parts"},
		{append(valid, "-tokens", "5,1", "-parts", "a:6"), nil, "-parts"},
		{append(valid, "-parts", "a:16000000,b:16000000"), nil, "-parts"},
		{append(valid, "-account", "caf\xe9"), nil, "-account"},
		{append(valid, "-parts", "caf\xe9:5"), nil, "-parts"},
		{valid, fmt.Errorf("x: %w", link.ErrNoRoute), "-host h -path /chat/"},
		{append(valid, "-account", "nobody"), fmt.Errorf("x: %w", link.ErrNoAccount), "-account nobody"},
		{valid, fmt.Errorf("x: %w", link.ErrNoConfiguration), "-node 10.0.0.1:7660"},
		{valid, link.ErrNotSupported, "-node 10.0.0.1:7660"},
	} {
		_, err := runExplain(&fakeExplainer{err: c.err}, c.args...)
		assert.ErrorContains(t, err, c.want, "%v", c.args)
	}
}

// TestExplainQueryAndOutput guards against flags that don't reach the process, and output
// that scripts can't read.
func TestExplainQueryAndOutput(t *testing.T) {
	f := &fakeExplainer{}
	text, err := runExplain(f, "-host", "h", "-path", "/chat/", "-account", "acme", "-parts", "a:b:1500,c:500", "-json")
	require.NoError(t, err)
	assert.Equal(t, "acme", f.query.Account)
	assert.EqualValues(t, 2000, f.query.PromptTokens, "the sum of the parts")
	assert.Equal(t, "a:b", string(f.query.Parts[0].ID))
	var e broker.Explanation
	require.NoError(t, json.Unmarshal([]byte(text), &e))
	assert.Equal(t, "p1", e.Decision.Server)
	text, err = runExplain(f, "-host", "h", "-path", "/chat/", "-tokens", "4000,200")
	require.NoError(t, err)
	assert.EqualValues(t, 4000, f.query.PromptTokens)
	assert.EqualValues(t, 200, f.query.MaxOutputTokens)
	assert.Contains(t, text, "decision: Send to p1")
}

// TestExplainOfAnotherProcess guards against an error that does not say that the process
// has no such call.
func TestExplainOfAnotherProcess(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = link.Serve(ctx, listener, &wire.DRPCPeerUnimplementedServer{}, &meter.Set{})
	}()
	client := &link.Client{Meters: &meter.Set{}}
	_, err = client.Explain(ctx, netip.MustParseAddrPort(listener.Addr().String()), &wire.ExplainQuery{})
	require.ErrorIs(t, err, link.ErrNotSupported)
	client.Close()
	cancel()
	<-served
}
