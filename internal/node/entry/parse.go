package entry

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

// modelRequest is what a model request asks for.
type modelRequest struct {
	model  spec.Model
	stream bool
	// prompt and output are in tokens.
	prompt, output int
	blocks         []uint64
}

// defaultOutput is how many tokens an answer is taken to have if the request
// does not bound it.
const defaultOutput = 256

// requestError is a fault of the caller's request.
type requestError struct {
	status       int
	code, detail string
}

// Error describes the fault.
func (m *requestError) Error() string { return m.detail }

func newRequestError(status int, code, format string, arguments ...any) error {
	return &requestError{status, code, fmt.Sprintf(format, arguments...)}
}

var parsers fastjson.ParserPool

// parse reads a model request's body.
func parse(d *spec.Deployment, body []byte) (modelRequest, error) {
	var w modelRequest
	if !utf8.Valid(body) {
		return w, newRequestError(400, "NotUtf8", "the body is not UTF-8 text")
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	value, err := parser.ParseBytes(body)
	if err != nil {
		return w, newRequestError(400, "NotJson", "the body is not JSON: %v", err)
	}
	if value.Type() != fastjson.TypeObject {
		return w, newRequestError(400, "NotJson", "the body must be a JSON object")
	}
	if err := w.readFields(d, value); err != nil {
		return w, err
	}
	return w, nil
}

func (w *modelRequest) readFields(d *spec.Deployment, value *fastjson.Value) error {
	name := string(value.GetStringBytes("model"))
	model, ok := d.Model(name)
	if !ok {
		return newRequestError(404, "UnknownModel", "no model %q is served", name)
	}
	w.model = model
	if s := value.Get("stream"); s != nil {
		if s.Type() != fastjson.TypeTrue && s.Type() != fastjson.TypeFalse {
			return newRequestError(400, "BadField", "stream must be true or false")
		}
		w.stream = s.Type() == fastjson.TypeTrue
	}
	if err := w.readMaxTokens(value); err != nil {
		return err
	}
	prompt, err := promptText(value)
	if err != nil {
		return err
	}
	w.prompt = max(len(prompt)/prefix.BytesPerToken, 1)
	w.blocks = prefix.Blocks(nil, prompt)
	if int64(w.prompt)+int64(w.output) > model.MaxTokens {
		return newRequestError(400, "TooManyTokens", "%d prompt and %d output tokens are over the model's %d", w.prompt, w.output, model.MaxTokens)
	}
	return nil
}

func (w *modelRequest) readMaxTokens(value *fastjson.Value) error {
	w.output = defaultOutput
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		field := value.Get(key)
		if field == nil || field.Type() == fastjson.TypeNull {
			continue
		}
		n, err := field.Int()
		if err != nil || n < 1 {
			return newRequestError(400, "BadField", "%s must be a whole number over 0", key)
		}
		w.output = n
	}
	return nil
}

// promptText joins the text of the prompt or of the messages.
func promptText(value *fastjson.Value) ([]byte, error) {
	if prompt := value.Get("prompt"); prompt != nil {
		text, err := prompt.StringBytes()
		if err != nil {
			return nil, newRequestError(400, "BadField", "prompt must be a string")
		}
		return text, nil
	}
	messages := value.GetArray("messages")
	if len(messages) == 0 {
		return nil, newRequestError(400, "BadField", "give messages, a list of at least one, or prompt")
	}
	var text []byte
	var err error
	for _, m := range messages {
		text, err = appendContent(text, m.Get("content"))
		if err != nil {
			return nil, err
		}
	}
	return text, nil
}

// appendContent appends a message's content, which is a string or a list of
// parts of which some have text.
func appendContent(text []byte, content *fastjson.Value) ([]byte, error) {
	if content == nil {
		return nil, newRequestError(400, "BadField", "a message must have content")
	}
	switch content.Type() {
	case fastjson.TypeString:
		return append(text, content.GetStringBytes()...), nil
	case fastjson.TypeNull:
		return text, nil
	case fastjson.TypeArray:
		for _, part := range content.GetArray() {
			text = append(text, part.GetStringBytes("text")...)
		}
		return text, nil
	}
	return nil, newRequestError(400, "BadField", "the content of a message must be a string or a list of parts")
}

func asRequestError(err error) (*requestError, bool) {
	var m *requestError
	ok := errors.As(err, &m)
	return m, ok
}
