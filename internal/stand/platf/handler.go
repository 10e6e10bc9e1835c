package platf

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Control paths of a running stand-in, beside the paths of the platform.
const (
	// FaultPath replaces the faults by the Faults in the JSON body.
	FaultPath = "/stand/faults"
	// SetVMPath sets the store.VM in the JSON body.
	SetVMPath = "/stand/vms"
	// CallsPath returns the Calls in JSON.
	CallsPath = "/stand/calls"
)

// Handler serves the platform over HTTP.
func (p *Platform) Handler(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch {
	case strings.HasPrefix(path, store.ObjectPath):
		p.object(c, strings.TrimPrefix(path, store.ObjectPath))
	case path == store.WatchPath:
		p.watch(c)
	case path == store.VMPath:
		after, err := strconv.ParseUint(string(c.QueryArgs().Peek("after")), 10, 64)
		if err != nil {
			c.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		list, err := p.VMs(context.Background(), after)
		reply(c, list, err)
	case path == FaultPath:
		var faults Faults
		err := json.Unmarshal(c.PostBody(), &faults)
		if err == nil {
			p.SetFaults(faults)
		}
		reply(c, faults, err)
	case path == SetVMPath:
		var vm store.VM
		err := json.Unmarshal(c.PostBody(), &vm)
		if err == nil {
			p.SetVM(vm)
		}
		reply(c, vm, err)
	case path == CallsPath:
		reply(c, p.Calls(), nil)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// object handles a read of an object, or a write on the version that the query
// names.
func (p *Platform) object(c *fasthttp.RequestCtx, key string) {
	if c.IsGet() {
		object, err := p.Get(context.Background(), key)
		if err != nil {
			replyError(c, err)
			return
		}
		c.Response.Header.Set(store.VersionHeader, strconv.FormatUint(object.Version, 10))
		c.SetBody(object.Value)
		return
	}
	base, err := strconv.ParseUint(string(c.QueryArgs().Peek("version")), 10, 64)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	version, err := p.Put(context.Background(), store.Object{Key: key, Value: c.PostBody(), Version: base})
	if err != nil {
		replyError(c, err)
		return
	}
	c.Response.Header.Set(store.VersionHeader, strconv.FormatUint(version, 10))
}

// watch handles a long poll for changed objects.
func (p *Platform) watch(c *fasthttp.RequestCtx) {
	query := c.QueryArgs()
	after, err := strconv.ParseUint(string(query.Peek("after")), 10, 64)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(string(query.Peek("wait")))
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	page, err := p.Watch(context.Background(), string(query.Peek("prefix")), after, wait)
	reply(c, page, err)
}

// reply sends value in JSON, or err.
func reply[T any](c *fasthttp.RequestCtx, value T, err error) {
	if err != nil {
		replyError(c, err)
		return
	}
	body, err := json.Marshal(value)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// replyError sends the status of an error of package store. Any other error
// stands for a lost response and closes the connection.
func replyError(c *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, store.ErrAbsent):
		c.SetStatusCode(fasthttp.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		c.SetStatusCode(fasthttp.StatusConflict)
	case errors.Is(err, store.ErrRefused):
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
	case errors.Is(err, store.ErrTooLarge):
		c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	default:
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { conn.Close() })
	}
}
