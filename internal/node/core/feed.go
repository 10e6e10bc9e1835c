package core

import (
	"context"
	"errors"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Changes implements wire.DRPCEntryServer. This process does not serve objects of the
// store to its peers.
func (n *Node) Changes(context.Context, *wire.FeedQuery) (*wire.FeedAnswer, error) {
	return &wire.FeedAnswer{Refused: true}, nil
}

var errNoExplanation = errors.New("this process does not explain placements")

// Explain implements wire.DRPCEntryServer.
func (n *Node) Explain(context.Context, *wire.ExplainQuery) (*wire.ExplainAnswer, error) {
	return nil, errNoExplanation
}
