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

// Names of the HTTP form.
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

// NoEvents is a number that no cache event is after.
const NoEvents = math.MaxUint64

const (
	controlTimeout   = 2 * time.Second
	controlBodyBytes = 1 << 20
)

// Client speaks to backend servers by HTTP. The zero value is ready to use.
type Client struct {
	requests call.Client
	// controlRequests carries reports and orders, whose bytes count as control.
	controlRequests call.Client
}

// SetCut says which addresses cannot be reached, for experiments.
func (c *Client) SetCut(cut func(address netip.AddrPort) bool) {
	c.requests.Cut, c.controlRequests.Cut = cut, cut
}

// ControlBytes returns how many bytes reports and orders took.
func (c *Client) ControlBytes() int64 { return c.controlRequests.Bytes() }

// Send sends a call and returns once the header of the answer is there. The
// errors are of type *call.Error.
func (c *Client) Send(ctx context.Context, server spec.BackendServer, sent Call) (*Answer, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(request, server, &sent)
	x, err := c.requests.Do(ctx, server.Address, request, call.Options{Fresh: sent.Once, ReadTimeout: sent.ReadTimeout})
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", server.Name, err)
	}
	answer := &Answer{Status: x.Status(), Body: x}
	answer.NotRun = string(x.Header.Peek(OutcomeHeader)) == NotRunOutcome
	for name, value := range x.Header.All() {
		if !hopByHop(string(name)) {
			answer.Fields = append(answer.Fields, Field{Name: string(name), Value: string(value)})
		}
	}
	return answer, nil
}

func fill(request *fasthttp.Request, server spec.BackendServer, sent *Call) {
	request.Header.SetMethod(sent.Method)
	request.SetRequestURI(sent.Path)
	request.Header.SetHost(server.Address.String())
	for _, f := range sent.Fields {
		request.Header.Add(f.Name, f.Value)
	}
	request.Header.Set(IDHeader, sent.ID)
	if server.Engine() {
		request.Header.Set(PriorityHeader, strconv.Itoa(sent.Priority))
	}
	if sent.Offset > 0 {
		request.Header.Set(OffsetHeader, strconv.Itoa(sent.Offset))
	}
	if sent.Phase != Whole {
		request.Header.Set(PhaseHeader, sent.Phase.String())
	}
	if sent.KvFrom != "" {
		request.Header.Set(KvFromHeader, sent.KvFrom)
	}
	request.SetBodyRaw(sent.Body)
}

// hopByHop reports whether a field belongs to one connection only.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te", "trailer", "server", "date", "proxy-connection":
		return true
	}
	return false
}

// Report reads an engine's account of itself, with the cache events after the
// one with the number since. NoEvents asks for none.
func (c *Client) Report(ctx context.Context, server spec.BackendServer, since uint64) (Report, error) {
	var report Report
	path := ReportPath + "?since=" + strconv.FormatUint(since, 10)
	status, body, err := c.control(ctx, server, fasthttp.MethodGet, path, nil, time.Time{})
	if err != nil {
		return report, fmt.Errorf("report of %s: %w", server.Name, err)
	}
	if status != fasthttp.StatusOK {
		return report, fmt.Errorf("report of %s: %w", server.Name, ErrStatus{status})
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("report of %s: %w", server.Name, err)
	}
	return report, nil
}

// Order sends an order. ErrFence and ErrBusy are refusals; with any other
// error the engine may have taken the order.
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
		return fmt.Errorf("order to %s: %w", server.Name, ErrFence)
	case fasthttp.StatusConflict:
		return fmt.Errorf("order to %s: %w", server.Name, ErrBusy)
	}
	return fmt.Errorf("order to %s: %w", server.Name, ErrStatus{status})
}

func (c *Client) control(ctx context.Context, server spec.BackendServer, method, path string, value []byte, before time.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.SetHost(server.Address.String())
	request.SetBodyRaw(value)
	x, err := c.controlRequests.Do(ctx, server.Address, request, call.Options{Fresh: value != nil, WriteDeadline: before})
	if err != nil {
		return 0, nil, err
	}
	defer x.Close()
	body, err := x.Body(controlBodyBytes)
	return x.Status(), body, err
}
