package link

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"storj.io/drpc/drpcerr"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Errors of Explain.
var (
	ErrNoConfiguration = errors.New("the process has no configuration yet")
	ErrNoRoute         = errors.New("no route matches the host and path")
	ErrNoAccount       = errors.New("no such client account")
	// ErrNotSupported means that the process is of an older build or no entry process.
	ErrNotSupported = errors.New("the process is of an older build, or no entry process")
)

// Explain asks an entry process where a request would be sent now. The error wraps
// ErrNoConfiguration, ErrNoRoute, ErrNoAccount or ErrNotSupported if the process says so.
func (c *Client) Explain(ctx context.Context, address netip.AddrPort, q *wire.ExplainQuery) (*wire.ExplainAnswer, error) {
	answer, err := invoke(ctx, c, address, q, newEntryClient, wire.DRPCEntryClient.Explain)
	if known := explainError(err); known != nil {
		return nil, fmt.Errorf("explain at %s: %w", address, known)
	}
	return answer, err
}

// unknownCall is in the error of a process that does not have the called method. The RPC
// library gives it no code.
const unknownCall = "unknown rpc"

// explainError returns the error of Explain that the process has sent, nil if it is another.
func explainError(err error) error {
	if err != nil && strings.Contains(err.Error(), unknownCall) {
		return ErrNotSupported
	}
	switch drpcerr.Code(err) {
	case uint64(wire.ExplainNoConfiguration):
		return ErrNoConfiguration
	case uint64(wire.ExplainNoRoute):
		return ErrNoRoute
	case uint64(wire.ExplainNoAccount):
		return ErrNoAccount
	}
	return nil
}
