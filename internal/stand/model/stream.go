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
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

var (
	errCut  = errors.New("stream cut")
	errDown = &call.Error{Stage: call.StageDialing, Err: errors.New("engine is down")}
)

// words are what the engine says. Some are Malayalam, whose letters take three
// bytes each.
var words = [...]string{"motor ", "ഘടകം ", "bearing ", "ശരി ", "torque ", "replace ", "ok ", "പരിശോധന "}

// stream is one call in the engine. The engine writes into it under the
// engine's lock; the caller reads from it under the stream's.
type stream struct {
	id       string
	model    string
	phase    engine.Phase
	priority int
	whole    bool
	blocks   []uint64
	// prompt is how many tokens are left to prefill; chunk is the part of the
	// step under way.
	prompt, chunk int
	promptSize    int
	output        int
	next          int
	seed          uint64
	moveTime      time.Duration
	ctx           context.Context

	mu     sync.Mutex
	buffer []byte
	ready  chan struct{}
	err    error
	text   []byte
}

// body is the part of a request that the engine needs.
type body struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func newStream(ctx context.Context, name string, sent engine.Call) (*stream, *engine.Response) {
	var b body
	if err := json.Unmarshal(sent.Body, &b); err != nil {
		return nil, refuse(400, err.Error())
	}
	prompt := b.Prompt
	for _, m := range b.Messages {
		prompt += m.Content
	}
	size := max(len(prompt)/prefix.BytesPerToken, 1)
	s := &stream{
		id: sent.ID, model: b.Model, phase: sent.Phase, priority: sent.Priority, whole: !b.Stream,
		prompt: size, promptSize: size, output: max(b.MaxTokens, 1), next: sent.Offset,
		blocks: prefix.Blocks(nil, []byte(prompt)), seed: xxhash.Sum64String(prompt),
		ctx: ctx, ready: make(chan struct{}, 1),
	}
	return s, nil
}

// size is the KV memory that the stream needs, in tokens.
func (s *stream) size() int { return s.promptSize + s.output }

func (s *stream) canceled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil || s.ctx.Err() != nil
}

// emit writes the next event and reports whether more follow.
func (s *stream) emit(cross bool) bool {
	id := s.id
	if cross {
		id = "another-request"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.signal()
	if s.phase == engine.PrefillOnly {
		s.buffer = fmt.Appendf(s.buffer, `{"id":%q,"kv_tokens":%d}`, id, s.promptSize)
		s.err = io.EOF
		return false
	}
	said := s.seed
	if cross {
		said++
	}
	word := words[(said+uint64(s.next)*7)%uint64(len(words))]
	s.next++
	if s.whole {
		s.text = append(s.text, word...)
		if s.next < s.output {
			return true
		}
		s.buffer = fmt.Appendf(s.buffer, `{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%s},"text":%s,"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`,
			id, s.model, quoted(string(s.text)), quoted(string(s.text)), s.promptSize, s.output)
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
	if s.next < s.output {
		return true
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	s.err = io.EOF
	return false
}

func quoted(text string) string {
	value, _ := json.Marshal(text)
	return string(value)
}

func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Read implements io.Reader.
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

// Close cancels the stream.
func (s *stream) Close() error {
	s.fail(context.Canceled)
	return nil
}

func (s *stream) answer() *engine.Response {
	kind := "text/event-stream"
	if s.whole || s.phase == engine.PrefillOnly {
		kind = "application/json"
	}
	return &engine.Response{Status: 200, Fields: []engine.Field{{Name: "Content-Type", Value: kind}}, Body: s}
}

// refuse is the answer to a call that is certainly not run.
func refuse(status int, why string) *engine.Response {
	text := `{"error":{"message":` + strconv.Quote(why) + `}}`
	return &engine.Response{
		Status: status, NotRun: true,
		Fields: []engine.Field{{Name: "Content-Type", Value: "application/json"}},
		Body:   io.NopCloser(strings.NewReader(text)),
	}
}

// Text returns what an engine says to a prompt, which is the same whichever
// engine answers, so that a caller can check that it got its own answer.
func Text(prompt string, tokens int) string {
	seed := xxhash.Sum64String(prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(words[(seed+uint64(i)*7)%uint64(len(words))])
	}
	return text.String()
}
