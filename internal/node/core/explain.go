package core

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"storj.io/drpc/drpcerr"

	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/auth"
)

// Explain implements wire.DRPCEntryServer: it says where a request would go now, and why.
func (n *Node) Explain(_ context.Context, q *wire.ExplainQuery) (*wire.ExplainAnswer, error) {
	if len(q.Parts) > maxExplainParts {
		return nil, fmt.Errorf("the prompt has %d parts, more than %d", len(q.Parts), maxExplainParts)
	}
	query := broker.ExplainQuery{
		Host: q.Host, Path: q.Path, Account: q.Account, PromptTokens: int(q.PromptTokens), MaxOutputTokens: int(q.MaxOutputTokens),
	}
	for _, p := range q.Parts {
		query.Parts = append(query.Parts, broker.Part{ID: string(p.ID), Tokens: int(p.Tokens)})
	}
	explanation, err := n.Broker.Explain(query)
	if err != nil {
		return nil, drpcerr.WithCode(err, uint64(explainCode(err)))
	}
	data, err := json.Marshal(explanation)
	if err != nil {
		return nil, fmt.Errorf("encode the explanation: %w", err)
	}
	return &wire.ExplainAnswer{Data: data}, nil
}

// maxExplainParts bounds the parts of a prompt that is explained.
const maxExplainParts = 1024

// explainCode returns the code by which the calling process recognises an error.
func explainCode(err error) wire.ExplainCode {
	switch {
	case errors.Is(err, broker.ErrNoConfiguration):
		return wire.ExplainNoConfiguration
	case errors.Is(err, broker.ErrNoRoute):
		return wire.ExplainNoRoute
	case errors.Is(err, auth.ErrNoAccount):
		return wire.ExplainNoAccount
	}
	return 0
}
