package core

import (
	"context"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Changes implements wire.DRPCEntryServer. This process does not serve objects of the
// store to its peers.
func (n *Node) Changes(context.Context, *wire.FeedQuery) (*wire.FeedAnswer, error) {
	return &wire.FeedAnswer{Refused: true}, nil
}
