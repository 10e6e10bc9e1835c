package core

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/detail"
)

// TestExplainOverRPC guards against errors that the caller can't tell apart, and an
// explanation that does not survive its encoding.
func TestExplainOverRPC(t *testing.T) {
	_, b, address := newHop(t, &hopServers{})
	client := &link.Client{Meters: &meter.Set{}}
	defer client.Close()
	_, err := client.Explain(t.Context(), address, &wire.ExplainQuery{Host: "h", Path: "/none/"})
	require.ErrorIs(t, err, link.ErrNoRoute)
	_, err = client.Explain(t.Context(), address, &wire.ExplainQuery{Host: "h", Path: "/w/", Account: "nobody"})
	require.ErrorIs(t, err, link.ErrNoAccount)
	_, err = client.Explain(t.Context(), address, &wire.ExplainQuery{Host: "h", Path: "/w/", Parts: make([]*wire.PromptPart, maxExplainParts+1)})
	require.Error(t, err)
	answer, err := client.Explain(t.Context(), address, &wire.ExplainQuery{Host: "h", Path: "/w/x"})
	require.NoError(t, err)
	var e broker.Explanation
	require.NoError(t, json.Unmarshal(answer.Data, &e))
	assert.Equal(t, "b", b.Name)
	assert.Equal(t, "w", e.Route)
	assert.Equal(t, detail.Decision{Action: detail.Send, Server: "i-1"}, e.Decision)
	assert.EqualValues(t, 3, b.Meters.Value("Explained"))
}

// TestExplainWithoutConfiguration guards against a failure of a process that has just
// started.
func TestExplainWithoutConfiguration(t *testing.T) {
	_, err := newNode(t).Explain(t.Context(), &wire.ExplainQuery{Host: "h", Path: "/w/"})
	require.ErrorIs(t, err, broker.ErrNoConfiguration)
}
