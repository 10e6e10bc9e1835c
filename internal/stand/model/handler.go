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

// Paths that switch a running stand-in.
const (
	FaultPath = "/stand/faults"
	SeenPath  = "/stand/seen"
	LeavePath = "/stand/leave"
)

// Handler is the HTTP form of the engine.
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
		e.Leave(string(c.QueryArgs().Peek("leaving")) == "Yes")
	case SeenPath:
		reply(c, e.Seen(), nil)
	default:
		e.serve(c)
	}
}

func (e *Engine) serve(c *fasthttp.RequestCtx) {
	header := &c.Request.Header
	sent := engine.Call{ID: string(header.Peek(engine.IDHeader)), Path: string(c.RequestURI()), Body: append([]byte(nil), c.PostBody()...)}
	sent.Priority, _ = strconv.Atoi(string(header.Peek(engine.PriorityHeader)))
	sent.Offset, _ = strconv.Atoi(string(header.Peek(engine.OffsetHeader)))
	sent.KvFrom = string(header.Peek(engine.KvFromHeader))
	for _, phase := range []engine.Phase{engine.PrefillOnly, engine.DecodeOnly} {
		if string(header.Peek(engine.PhaseHeader)) == phase.String() {
			sent.Phase = phase
		}
	}
	answer, err := e.Send(context.Background(), sent)
	if err != nil {
		hangUp(c)
		return
	}
	c.SetStatusCode(answer.Status)
	for _, f := range answer.Fields {
		c.Response.Header.Set(f.Name, f.Value)
	}
	if answer.NotRun {
		c.Response.Header.Set(engine.OutcomeHeader, engine.NotRunOutcome)
	}
	c.SetBodyStream(answer.Body, -1)
}

func reply[T any](c *fasthttp.RequestCtx, value T, err error) {
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case errors.Is(err, engine.ErrBusy):
		c.SetStatusCode(fasthttp.StatusConflict)
	case err != nil:
		hangUp(c)
	default:
		text, _ := json.Marshal(value)
		c.SetContentType("application/json")
		c.SetBody(text)
	}
}

// hangUp closes the connection without an answer.
func hangUp(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { conn.Close() })
}
