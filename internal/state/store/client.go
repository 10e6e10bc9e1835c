package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// Header and paths of the platform's HTTP API.
const (
	// VersionHeader carries the version of the object in a response.
	VersionHeader = "X-Object-Version"
	ObjectPath    = "/objects/"
	WatchPath     = "/watch"
	VMPath        = "/vms"
)

// maxResponseBody bounds the body of a response, in bytes. A watch returns many
// values of up to MaxValue.
const maxResponseBody = 64 * MaxValue

// Client calls the platform's HTTP API. It implements API and is safe for
// concurrent use.
type Client struct {
	Address netip.AddrPort
	// Timeout bounds a call, excluding the time that a watch waits. 0 means 10 s.
	Timeout time.Duration

	calls call.Client
	count atomic.Int64
}

// SetCut sets a function that simulates a network partition for experiments:
// calls fail if it returns true for the Client's address. It must be called before
// the first call.
func (c *Client) SetCut(cut func(address netip.AddrPort) bool) { c.calls.Cut = cut }

// Bytes returns the number of bytes sent and received.
func (c *Client) Bytes() int64 { return c.calls.Bytes() }

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.count.Load() }

// Get reads an object. The error is ErrAbsent, ErrRefused, or that of a failed
// call.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	body, version, err := c.do(ctx, fasthttp.MethodGet, ObjectPath+key, nil, 0)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return Object{Key: key, Value: body, Version: version}, nil
}

// Put replaces the version of the object that object.Version names and returns
// the new version. Version 0 creates the object, an empty value removes it. The
// error is ErrConflict if the object has another version. The outcome is unknown
// if the error is one for which NotWritten is false.
func (c *Client) Put(ctx context.Context, object Object) (uint64, error) {
	if len(object.Value) > MaxValue {
		return 0, fmt.Errorf("put %s: %w", object.Key, ErrTooLarge)
	}
	path := ObjectPath + object.Key + "?version=" + strconv.FormatUint(object.Version, 10)
	_, version, err := c.do(ctx, fasthttp.MethodPut, path, object.Value, 0)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", object.Key, err)
	}
	return version, nil
}

// Watch returns the objects under prefix whose versions are greater than after.
// It waits up to wait for the first of them; the page has no objects if there is
// none by then.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", wait.String())
	var page Page
	body, _, err := c.do(ctx, fasthttp.MethodGet, WatchPath+"?"+query.Encode(), nil, wait)
	if err != nil {
		return page, fmt.Errorf("watch %s: %w", prefix, err)
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return page, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return page, nil
}

// VMs returns the list of VMs if its revision is greater than after, else a
// list without VMs.
func (c *Client) VMs(ctx context.Context, after uint64) (List, error) {
	var list List
	path := VMPath + "?after=" + strconv.FormatUint(after, 10)
	body, _, err := c.do(ctx, fasthttp.MethodGet, path, nil, 0)
	if err != nil {
		return list, fmt.Errorf("list VMs: %w", err)
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, fmt.Errorf("list VMs: %w", err)
	}
	return list, nil
}

// defaultTimeout bounds a call if Client.Timeout is zero.
const defaultTimeout = 10 * time.Second

// do sends one request and returns the body and version of the response. A PUT
// uses a new connection: on a kept one that the server has closed, the outcome
// of the write would be unknown.
func (c *Client) do(ctx context.Context, method, path string, value []byte, wait time.Duration) ([]byte, uint64, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	c.count.Add(1)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.SetHost(c.Address.String())
	request.SetBodyRaw(value)
	x, err := c.calls.Do(ctx, c.Address, request, call.Options{NewConnection: method == fasthttp.MethodPut})
	if err != nil {
		if call.StageOf(err) == call.StageDialing {
			return nil, 0, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil, 0, err
	}
	defer x.Close()
	body, err := x.Body(maxResponseBody)
	if err != nil {
		return nil, 0, err
	}
	if err := statusError(x.Status()); err != nil {
		return nil, 0, err
	}
	text := x.Header.Peek(VersionHeader)
	if len(text) == 0 {
		return body, 0, nil
	}
	version, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("version of the object: %w", err)
	}
	return body, version, nil
}

// statusError returns the error for the status of a response, nil for 200.
func statusError(status int) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return ErrAbsent
	case fasthttp.StatusConflict:
		return ErrConflict
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return ErrRefused
	case fasthttp.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return fmt.Errorf("platform responded with status %d", status)
}
