package model

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

var (
	errTruncated = errors.New("stream truncated")
	errDown      = &call.Error{Stage: call.StageDialing, Err: fmt.Errorf("engine is down: %w", syscall.ECONNREFUSED)}
)

// vocabulary has the tokens that the engine produces. Some are Malayalam, whose
// letters take three bytes each in UTF-8.
var vocabulary = [...]string{"motor ", "ഘടകം ", "bearing ", "ശരി ", "torque ", "replace ", "ok ", "പരിശോധന "}

// stream is one request in the engine and the reader of its response. The fields
// before mu are constant or guarded by Engine.mu, the others are guarded by mu.
type stream struct {
	id       string
	model    string
	phase    engine.Phase
	priority int
	// nonStreaming is set if the response is a single JSON object.
	nonStreaming bool
	// blocks has the block hashes of the prompt.
	blocks []uint64
	// prefillLeft is the number of prompt tokens left to prefill, chunk the
	// number of them in the current step.
	prefillLeft, chunk int
	promptTokens       int
	outputTokens       int
	// nextToken is the index of the next output token. It begins at the resume
	// offset.
	nextToken int
	// seed selects the output text by the prompt.
	seed uint64
	// transferTime is the time of a KV transfer that has not been added to a
	// step yet.
	transferTime time.Duration
	ctx          context.Context

	mu sync.Mutex
	// buffer has the bytes that were not read yet. ready gets an item when buffer
	// or err changes.
	buffer []byte
	ready  chan struct{}
	// err is io.EOF after the complete response, or the reason for which it was
	// truncated.
	err error
	// text is the output so far of a non-streaming response.
	text []byte
}

// body is the part of a request body that the engine uses.
type body struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// newStream returns the stream of a request, or the response that rejects it.
func newStream(ctx context.Context, name string, request engine.Call) (*stream, *engine.Response) {
	var b body
	if err := json.Unmarshal(request.Body, &b); err != nil {
		return nil, reject(400, err.Error())
	}
	prompt := b.Prompt
	for _, m := range b.Messages {
		prompt += m.Content
	}
	size := max(len(prompt)/prefix.BytesPerToken, 1)
	s := &stream{
		id: request.ID, model: b.Model, phase: request.Phase, priority: request.Priority, nonStreaming: !b.Stream,
		prefillLeft: size, promptTokens: size, outputTokens: max(b.MaxTokens, 1), nextToken: request.Offset,
		blocks: prefix.Blocks(nil, []byte(prompt)), seed: xxhash.Sum64String(prompt),
		ctx: ctx, ready: make(chan struct{}, 1),
	}
	return s, nil
}

// kvTokens returns the KV memory that the stream reserves, in tokens.
func (s *stream) kvTokens() int { return s.promptTokens + s.outputTokens }

// canceled reports whether the stream failed, was closed, or its context ended.
func (s *stream) canceled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil || s.ctx.Err() != nil
}

// emit appends the next event to the buffer and reports whether more follow. If
// cross is set, the event has the ID and text of another request.
func (s *stream) emit(cross bool) bool {
	id := s.id
	if cross {
		id = "another-request"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.signal()
	if s.phase == engine.PrefillOnly {
		s.buffer = fmt.Appendf(s.buffer, `{"id":%q,"kv_tokens":%d}`, id, s.promptTokens)
		s.err = io.EOF
		return false
	}
	textSeed := s.seed
	if cross {
		textSeed++
	}
	word := vocabulary[(textSeed+uint64(s.nextToken)*7)%uint64(len(vocabulary))]
	s.nextToken++
	if s.nonStreaming {
		s.text = append(s.text, word...)
		if s.nextToken < s.outputTokens {
			return true
		}
		s.buffer = fmt.Appendf(s.buffer, `{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%s},"text":%s,"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`,
			id, s.model, quoted(string(s.text)), quoted(string(s.text)), s.promptTokens, s.outputTokens)
		s.err = io.EOF
		return false
	}
	s.buffer = append(s.buffer, `data: {"id":"`...)
	s.buffer = append(s.buffer, id...)
	s.buffer = append(s.buffer, `","object":"chat.completion.chunk","model":"`...)
	s.buffer = append(s.buffer, s.model...)
	s.buffer = append(s.buffer, `","choices":[{"index":0,"delta":{"content":"`...)
	s.buffer = append(s.buffer, word...)
	s.buffer = append(s.buffer, `"},"text":"`...)
	s.buffer = append(s.buffer, word...)
	s.buffer = append(s.buffer, `","finish_reason":null}]}`+"\n\n"...)
	if s.nextToken < s.outputTokens {
		return true
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	s.err = io.EOF
	return false
}

// quoted returns text as a JSON string.
func quoted(text string) string {
	value, _ := json.Marshal(text)
	return string(value)
}

// fail truncates the stream with err, unless it ended before.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.signal()
}

// signal wakes Read.
func (s *stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Read implements io.Reader. It blocks until there is an event or the stream
// ends. The error of a truncated stream is a *call.Error.
func (s *stream) Read(p []byte) (int, error) {
	for {
		s.mu.Lock()
		if len(s.buffer) > 0 {
			n := copy(p, s.buffer)
			s.buffer = s.buffer[:copy(s.buffer, s.buffer[n:])]
			s.mu.Unlock()
			return n, nil
		}
		err := s.err
		s.mu.Unlock()
		if err == io.EOF {
			return 0, io.EOF
		}
		if err != nil {
			return 0, &call.Error{Stage: call.StageReading, Err: err}
		}
		select {
		case <-s.ready:
		case <-s.ctx.Done():
			s.fail(s.ctx.Err())
		}
	}
}

// Close cancels the stream: the engine drops it in its next step.
func (s *stream) Close() error {
	s.fail(context.Canceled)
	return nil
}

// response returns the response whose body is the stream.
func (s *stream) response() *engine.Response {
	contentType := "text/event-stream"
	if s.nonStreaming || s.phase == engine.PrefillOnly {
		contentType = "application/json"
	}
	return &engine.Response{Status: 200, Fields: []engine.Field{{Name: "Content-Type", Value: contentType}}, Body: s}
}

// reject returns the response to a request that does not run.
func reject(status int, reason string) *engine.Response {
	text := `{"error":{"message":` + strconv.Quote(reason) + `}}`
	return &engine.Response{
		Status: status, NotRun: true,
		Fields: []engine.Field{{Name: "Content-Type", Value: "application/json"}},
		Body:   io.NopCloser(strings.NewReader(text)),
	}
}

// Text returns the output of any engine for a prompt. It depends on the prompt
// only, so that a client can check that the response belongs to its request.
func Text(prompt string, tokens int) string {
	seed := xxhash.Sum64String(prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(vocabulary[(seed+uint64(i)*7)%uint64(len(vocabulary))])
	}
	return text.String()
}
