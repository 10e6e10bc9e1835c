package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// Header names, header values and paths of the HTTP interface.
const (
	IDHeader       = "X-Request-Id"
	PriorityHeader = "X-Priority"
	OffsetHeader   = "X-Resume-Offset"
	PhaseHeader    = "X-Phase"
	KvFromHeader   = "X-Kv-From"
	OutcomeHeader  = "X-Outcome"
	NotRunOutcome  = "NotRun"

	ReportPath = "/engine/report"
	OrderPath  = "/engine/order"
)

// NoEvents, passed to Client.Report as since, requests no cache events.
const NoEvents = math.MaxUint64

const (
	controlTimeout   = 2 * time.Second
	controlBodyBytes = 1 << 20
)

// Client sends calls, report requests and orders to backend servers over HTTP.
// The zero value is ready to use; a Client is safe for concurrent use.
type Client struct {
	requests call.Client
	// controlRequests is used for reports and orders, so that their bytes are
	// counted separately.
	controlRequests call.Client
}

// SetCut simulates a network partition for experiments: addresses for which cut
// returns true are unreachable. It must be called before the Client is used.
func (c *Client) SetCut(cut func(address netip.AddrPort) bool) {
	c.requests.Cut, c.controlRequests.Cut = cut, cut
}

// ControlBytes returns the number of bytes read and written for reports and
// orders.
func (c *Client) ControlBytes() int64 { return c.controlRequests.Bytes() }

// Send sends a call and returns when the header of the response was read. The
// errors wrap a *call.Error.
func (c *Client) Send(ctx context.Context, server spec.BackendServer, outgoing Call) (*Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(request, server, &outgoing)
	newConnection := outgoing.AtMostOnce || outgoing.Again
	x, err := c.requests.Do(ctx, server.Address, request, call.Options{NewConnection: newConnection, ReadTimeout: outgoing.ReadTimeout})
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", server.Name, err)
	}
	response := &Response{Status: x.Status(), Body: x}
	echoed := string(x.Header.Peek(IDHeader))
	response.Foreign = echoed != outgoing.ID && (echoed != "" || !newConnection)
	response.NotRun = !response.Foreign && string(x.Header.Peek(OutcomeHeader)) == NotRunOutcome
	for name, value := range x.Header.All() {
		if !hopByHop(string(name)) {
			response.Fields = append(response.Fields, Field{Name: string(name), Value: string(value)})
		}
	}
	return response, nil
}

// Connect opens a connection to a backend server, for a later call. The errors wrap a
// *call.Error.
func (c *Client) Connect(ctx context.Context, server spec.BackendServer) error {
	if err := c.requests.Connect(ctx, server.Address, 0); err != nil {
		return fmt.Errorf("connect to %s: %w", server.Name, err)
	}
	return nil
}

// fill sets the request's header and body.
func fill(request *fasthttp.Request, server spec.BackendServer, outgoing *Call) {
	request.Header.SetMethod(outgoing.Method)
	request.SetRequestURI(outgoing.Path)
	request.Header.SetHost(server.Address.String())
	for _, f := range outgoing.Fields {
		request.Header.Add(f.Name, f.Value)
	}
	request.Header.Set(IDHeader, outgoing.ID)
	if server.Engine() {
		request.Header.Set(PriorityHeader, strconv.Itoa(outgoing.Priority))
	}
	if outgoing.Offset > 0 {
		request.Header.Set(OffsetHeader, strconv.Itoa(outgoing.Offset))
	}
	if outgoing.Phase != Whole {
		request.Header.Set(PhaseHeader, outgoing.Phase.String())
	}
	if outgoing.KvFrom != "" {
		request.Header.Set(KvFromHeader, outgoing.KvFrom)
	}
	request.SetBodyRaw(outgoing.Body)
}

// hopByHop reports whether a response's header field is not forwarded to the
// client: it applies to one connection only, describes the backend server, or is
// set anew in the forwarded response.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te", "trailer", "server", "date", "proxy-connection":
		return true
	}
	return false
}

// Report polls an engine's report, with the cache events whose sequence numbers
// are higher than since.
func (c *Client) Report(ctx context.Context, server spec.BackendServer, since uint64) (Report, error) {
	var report Report
	path := ReportPath + "?since=" + strconv.FormatUint(since, 10)
	status, body, err := c.control(ctx, server, fasthttp.MethodGet, path, nil, time.Time{})
	if err != nil {
		return report, fmt.Errorf("report of %s: %w", server.Name, err)
	}
	if status != fasthttp.StatusOK {
		return report, fmt.Errorf("report of %s: %w", server.Name, StatusError{status})
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("report of %s: %w", server.Name, err)
	}
	return report, nil
}

// Order sends an order. After ErrStaleFence and ErrBusy the engine has rejected
// the order; after any other error it may have accepted it.
func (c *Client) Order(ctx context.Context, server spec.BackendServer, order Order) error {
	value, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("order to %s: %w", server.Name, err)
	}
	status, _, err := c.control(ctx, server, fasthttp.MethodPost, OrderPath, value, order.SendBefore)
	if err != nil {
		return fmt.Errorf("order to %s: %w", server.Name, err)
	}
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusPreconditionFailed:
		return fmt.Errorf("order to %s: %w", server.Name, ErrStaleFence)
	case fasthttp.StatusConflict:
		return fmt.Errorf("order to %s: %w", server.Name, ErrBusy)
	}
	return fmt.Errorf("order to %s: %w", server.Name, StatusError{status})
}

// control sends a report request, or an order with value as its body and
// deadline as the latest time to write it, and returns the response.
func (c *Client) control(ctx context.Context, server spec.BackendServer, method, path string, value []byte, deadline time.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.SetHost(server.Address.String())
	request.SetBodyRaw(value)
	x, err := c.controlRequests.Do(ctx, server.Address, request, call.Options{NewConnection: value != nil, WriteDeadline: deadline})
	if err != nil {
		return 0, nil, err
	}
	defer x.Close()
	body, err := x.Body(controlBodyBytes)
	return x.Status(), body, err
}
