package wire

// ExplainCode is the code of an error of Entry.Explain. The values are part of the wire
// protocol.
type ExplainCode uint64

// The codes. They differ from those of the RPC library itself.
const (
	// ExplainNoConfiguration means that the process has no configuration yet.
	ExplainNoConfiguration ExplainCode = 101
	// ExplainNoRoute means that no route matches the host and path.
	ExplainNoRoute ExplainCode = 102
	// ExplainNoAccount means that there is no client account with the name.
	ExplainNoAccount ExplainCode = 103
)
