package load

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// HTTP is a Client that sends requests over HTTP. It is safe for concurrent use.
type HTTP struct {
	// Targets are the client addresses of the entry VMs.
	Targets []netip.AddrPort

	client call.Client
}

// Send implements Client.
func (h *HTTP) Send(ctx context.Context, target int, r entry.Request) (*entry.Reply, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	address := h.Targets[target]
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.Path)
	request.Header.SetHost(address.String())
	request.Header.Set(entry.DeadlineHeader, strconv.FormatInt(max(time.Until(r.Deadline).Milliseconds(), 1), 10))
	request.Header.Set(entry.PriorityHeader, strconv.Itoa(r.Priority))
	if r.Account != "" {
		request.Header.Set(entry.AccountHeader, r.Account)
	}
	if r.Key != "" {
		request.Header.Set(entry.KeyHeader, r.Key)
	}
	if r.Body != nil {
		request.SetBodyRaw(r.Body)
	}
	// A pooled connection may lead to a process that has exited since, and the
	// request would be counted as lost.
	x, err := h.client.Do(ctx, address, request, call.Options{NewConnection: true})
	if err != nil {
		return nil, err
	}
	header := &x.Header
	return &entry.Reply{
		ID: string(header.Peek(entry.IDHeader)), Status: x.Status(), Body: x,
		Outcome: parseOutcome(string(header.Peek(entry.OutcomeHeader))), Reason: string(header.Peek(entry.ReasonHeader)),
	}, nil
}

// parseOutcome parses the outcome header of a response. A missing or invalid
// header means retry.Unknown.
func parseOutcome(text string) retry.Outcome {
	switch text {
	case retry.NotRun.String():
		return retry.NotRun
	case retry.Run.String():
		return retry.Run
	}
	return retry.Unknown
}
