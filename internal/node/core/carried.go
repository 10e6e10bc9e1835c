package core

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// Carry implements wire.DRPCEntryServer: it serves a request for a peer.
func (n *Node) Carry(stream wire.DRPCEntry_CarryStream) error {
	first, err := stream.Recv()
	if err != nil || first.Request == nil {
		return errProtocol
	}
	q := first.Request
	received := time.Now()
	left := time.Duration(q.LeftMicroseconds) * time.Microsecond
	if refusal := n.carrier.admit(q); refusal != "" {
		return stream.Send(refused(retry.NotRun, refusal, int(q.Attempts)))
	}
	defer n.carrier.leave(q)
	// The call ends with the request's deadline also if the peer sends and reads nothing.
	timer := time.AfterFunc(left+lateClose, func() { _ = stream.Close() })
	defer timer.Stop()
	body, err := readPieces(q.BodyBytes, func() ([]byte, error) {
		part, err := stream.Recv()
		return part.GetBody(), err
	})
	if err != nil {
		return err
	}
	if err := stream.Send(&wire.CarryReply{Accepted: true}); err != nil {
		return fmt.Errorf("accept: %w", err)
	}
	if part, err := stream.Recv(); err != nil || !part.Go {
		return errProtocol
	}
	n.Log.Info("serving a request for a peer", zap.ByteString("Request", q.ID), zap.String("Peer", q.From), zap.String("Service", q.Service), zap.Duration("Left", left))
	n.Broker.ServeCarried(stream.Context(), decodeCarried(received, q, body), &carriedOutput{stream: stream})
	return nil
}

// lateClose is how long after the deadline of a request its call ends in any case.
const lateClose = time.Second

// admit counts a request of a peer, or returns why it is refused.
func (c *carrier) admit(q *wire.CarriedRequest) broker.Reason {
	n := c.node
	maxBytes := int64(servingShare * float64(n.Broker.MaxBuffered))
	serving, size := c.serving.Add(1), c.servingBytes.Add(int64(q.BodyBytes))
	switch {
	case !n.Ready() || !n.Broker.Reaches(q.Service):
	case serving > maxServing || q.BodyBytes > uint64(n.Limits().BodyBytes) || maxBytes > 0 && size > maxBytes:
	default:
		return ""
	}
	c.leave(q)
	return broker.PeerFull
}

// leave ends a request of a peer.
func (c *carrier) leave(q *wire.CarriedRequest) {
	c.serving.Add(-1)
	c.servingBytes.Add(-int64(q.BodyBytes))
}

// carriedOutput sends a response to the process that carries the request. It implements
// broker.CarriedOutput. Sends block while that process does not read.
type carriedOutput struct {
	stream   wire.DRPCEntry_CarryStream
	software string
	attempts int
}

// Bind implements broker.CarriedOutput.
func (o *carriedOutput) Bind(software string, attempts int) {
	o.software, o.attempts = software, attempts
}

// Refuse implements broker.CarriedOutput.
func (o *carriedOutput) Refuse(outcome retry.Outcome, reason broker.Reason, attempts int) error {
	return o.stream.Send(refused(outcome, reason, attempts))
}

// Respond implements broker.Output.
func (o *carriedOutput) Respond(r broker.Reply) error {
	h := o.header(r.Status, r.Fields)
	h.BodyBytes = uint64(len(r.Body))
	if err := o.stream.Send(&wire.CarryReply{Header: h}); err != nil {
		return fmt.Errorf("send response: %w", err)
	}
	return sendPieces(r.Body, func(p []byte) error { return o.stream.Send(&wire.CarryReply{Body: p}) })
}

// Begin implements broker.Output.
func (o *carriedOutput) Begin(status int, fields []call.Field) error {
	h := o.header(status, fields)
	h.Stream = true
	return o.stream.Send(&wire.CarryReply{Header: h})
}

// Event implements broker.Output. An empty part is ignored.
func (o *carriedOutput) Event(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	return o.stream.Send(&wire.CarryReply{Event: text})
}

// End implements broker.Output.
func (o *carriedOutput) End() error { return o.stream.Send(&wire.CarryReply{End: true}) }

// header returns the header of a response.
func (o *carriedOutput) header(status int, fields []call.Field) *wire.ReplyHeader {
	return &wire.ReplyHeader{Status: uint32(status), Fields: encodeFields(fields), Software: o.software, Attempts: uint32(o.attempts)}
}
