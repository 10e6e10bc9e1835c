package entry

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

// modelRequest is the parsed body of a model request.
type modelRequest struct {
	model  spec.Model
	stream bool
	// prompt is the estimated length of the prompt and output the longest
	// output, in tokens.
	prompt, output int
	// blocks are the block hashes of the prompt.
	blocks []uint64
}

// defaultOutput is the assumed output length, in tokens, of a request that does not
// bound it.
const defaultOutput = 256

// requestError is an error of the client's request. It is sent to the client.
type requestError struct {
	status       int
	code, detail string
}

// Error returns the description for the client.
func (e *requestError) Error() string { return e.detail }

// newRequestError returns a requestError with the HTTP status and the error code.
func newRequestError(status int, code, format string, arguments ...any) error {
	return &requestError{status, code, fmt.Sprintf(format, arguments...)}
}

var parsers fastjson.ParserPool

// parse parses the body of a model request. Every error is a requestError.
func parse(d *spec.Deployment, body []byte) (modelRequest, error) {
	var r modelRequest
	if !utf8.Valid(body) {
		return r, newRequestError(400, "NotUtf8", "the body is not UTF-8 text")
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	value, err := parser.ParseBytes(body)
	if err != nil {
		return r, newRequestError(400, "NotJson", "the body is not JSON: %v", err)
	}
	if value.Type() != fastjson.TypeObject {
		return r, newRequestError(400, "NotJson", "the body must be a JSON object")
	}
	if err := r.readFields(d, value); err != nil {
		return r, err
	}
	return r, nil
}

// readFields reads the fields of the JSON object.
func (r *modelRequest) readFields(d *spec.Deployment, value *fastjson.Value) error {
	name := string(value.GetStringBytes("model"))
	model, ok := d.Model(name)
	if !ok {
		return newRequestError(404, "UnknownModel", "no model %q is served", name)
	}
	r.model = model
	if s := value.Get("stream"); s != nil {
		if s.Type() != fastjson.TypeTrue && s.Type() != fastjson.TypeFalse {
			return newRequestError(400, "BadField", "stream must be true or false")
		}
		r.stream = s.Type() == fastjson.TypeTrue
	}
	if err := r.readMaxTokens(value); err != nil {
		return err
	}
	prompt, err := promptText(value)
	if err != nil {
		return err
	}
	r.prompt = max(len(prompt)/prefix.BytesPerToken, 1)
	r.blocks = prefix.Blocks(nil, prompt)
	if int64(r.prompt)+int64(r.output) > model.MaxTokens {
		return newRequestError(400, "TooManyTokens", "%d prompt and %d output tokens are over the model's %d", r.prompt, r.output, model.MaxTokens)
	}
	return nil
}

// readMaxTokens reads the bound of the output, by its older or newer name.
func (r *modelRequest) readMaxTokens(value *fastjson.Value) error {
	r.output = defaultOutput
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		field := value.Get(key)
		if field == nil || field.Type() == fastjson.TypeNull {
			continue
		}
		n, err := field.Int()
		if err != nil || n < 1 {
			return newRequestError(400, "BadField", "%s must be a whole number over 0", key)
		}
		r.output = n
	}
	return nil
}

// promptText returns the prompt, or the concatenated text of the messages.
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

// appendContent appends a message's content, which is a string or a list of parts.
// Parts without text are skipped.
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

// asRequestError returns the requestError in err's chain, if there is one.
func asRequestError(err error) (*requestError, bool) {
	var e *requestError
	ok := errors.As(err, &e)
	return e, ok
}
