package model

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// Control paths of a running stand-in, beside the paths of an engine.
const (
	// FaultPath replaces the faults by the Faults in the JSON body.
	FaultPath = "/stand/faults"
	// SeenPath returns the Record in JSON.
	SeenPath = "/stand/seen"
	// LeavePath sets whether the engine reports that it is leaving: it does after
	// the query leaving=Yes, and not after any other.
	LeavePath = "/stand/leave"
)

// Handler serves the engine over HTTP.
func (e *Engine) Handler(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case engine.ReportPath:
		since, err := strconv.ParseUint(string(c.QueryArgs().Peek("since")), 10, 64)
		if err != nil {
			c.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		report, err := e.Report(c, since)
		reply(c, report, err)
	case engine.OrderPath:
		var order engine.Order
		err := json.Unmarshal(c.PostBody(), &order)
		if err == nil {
			err = e.Order(c, order)
		}
		reply(c, order, err)
	case FaultPath:
		var faults Faults
		err := json.Unmarshal(c.PostBody(), &faults)
		if err == nil {
			e.SetFaults(faults)
		}
		reply(c, faults, err)
	case LeavePath:
		e.SetLeaving(string(c.QueryArgs().Peek("leaving")) == "Yes")
	case SeenPath:
		reply(c, e.Recorded(), nil)
	default:
		e.serve(c)
	}
}

// serve handles a request to a model.
func (e *Engine) serve(c *fasthttp.RequestCtx) {
	header := &c.Request.Header
	received := engine.Call{ID: string(header.Peek(engine.IDHeader)), Path: string(c.RequestURI()), Body: append([]byte(nil), c.PostBody()...)}
	received.Priority, _ = strconv.Atoi(string(header.Peek(engine.PriorityHeader)))
	received.Offset, _ = strconv.Atoi(string(header.Peek(engine.OffsetHeader)))
	received.KvFrom = string(header.Peek(engine.KvFromHeader))
	for _, phase := range []engine.Phase{engine.PrefillOnly, engine.DecodeOnly} {
		if string(header.Peek(engine.PhaseHeader)) == phase.String() {
			received.Phase = phase
		}
	}
	response, err := e.Send(context.Background(), received)
	if err != nil {
		closeConnection(c)
		return
	}
	c.SetStatusCode(response.Status)
	c.Response.Header.Set(engine.IDHeader, received.ID)
	for _, f := range response.Fields {
		c.Response.Header.Set(f.Name, f.Value)
	}
	if response.NotRun {
		c.Response.Header.Set(engine.OutcomeHeader, engine.NotRunOutcome)
	}
	c.SetBodyStream(response.Body, -1)
}

// reply sends value in JSON. An order's rejection becomes an HTTP status, and any
// other error closes the connection.
func reply[T any](c *fasthttp.RequestCtx, value T, err error) {
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case errors.Is(err, engine.ErrBusy):
		c.SetStatusCode(fasthttp.StatusConflict)
	case err != nil:
		closeConnection(c)
	default:
		text, _ := json.Marshal(value)
		c.SetContentType("application/json")
		c.SetBody(text)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { conn.Close() })
}
