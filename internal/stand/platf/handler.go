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

// FaultPath takes a Faults value by POST, to switch faults of a running
// stand-in; ListPath takes a store.VM.
const (
	FaultPath = "/stand/faults"
	ListPath  = "/stand/vms"
	CallsPath = "/stand/calls"
)

// Handler is the HTTP form of the platform.
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
	case path == ListPath:
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

func (p *Platform) object(c *fasthttp.RequestCtx, key string) {
	if c.IsGet() {
		object, err := p.Get(context.Background(), key)
		if err != nil {
			fail(c, err)
			return
		}
		c.Response.Header.Set(store.VersionHeader, strconv.FormatUint(object.Version, 10))
		c.SetBody(object.Value)
		return
	}
	named, err := strconv.ParseUint(string(c.QueryArgs().Peek("version")), 10, 64)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	version, err := p.Put(context.Background(), store.Object{Key: key, Value: c.PostBody(), Version: named})
	if err != nil {
		fail(c, err)
		return
	}
	c.Response.Header.Set(store.VersionHeader, strconv.FormatUint(version, 10))
}

func (p *Platform) watch(c *fasthttp.RequestCtx) {
	arguments := c.QueryArgs()
	after, err := strconv.ParseUint(string(arguments.Peek("after")), 10, 64)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(string(arguments.Peek("wait")))
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	page, err := p.Watch(context.Background(), string(arguments.Peek("prefix")), after, wait)
	reply(c, page, err)
}

func reply[T any](c *fasthttp.RequestCtx, value T, err error) {
	if err != nil {
		fail(c, err)
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

func fail(c *fasthttp.RequestCtx, err error) {
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
		// The answer is lost: the connection closes without one.
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { conn.Close() })
	}
}
