package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

// filler is text that prompts are cut from.
var filler = strings.Repeat("phase current 41A; hall sensor ok; temperature 63C; താപനില ശരി; ", 4096)

// Prompt returns the prompt of the entry with the number in its trace.
func (e Entry) Prompt(number int) string {
	var text strings.Builder
	if e.PrefixTokens > 0 {
		text.WriteString(cut(fmt.Sprintf("manual %d: %s", e.PrefixID, filler), min(e.PrefixTokens, e.PromptTokens)))
	}
	rest := e.PromptTokens*prefix.BytesPerToken - text.Len()
	if rest > 0 {
		text.WriteString(cut(fmt.Sprintf("request %d: %s", number, filler), (rest+prefix.BytesPerToken-1)/prefix.BytesPerToken))
	}
	return text.String()
}

// cut returns so many tokens of text, without cutting a letter.
func cut(text string, tokens int) string {
	n := min(tokens*prefix.BytesPerToken, len(text))
	return strings.ToValidUTF8(text[:n], " ")
}

// message is a model request in the chat form.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chat struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// Body returns the request's body.
func (e Entry) Body(number int, stream bool) []byte {
	if e.PromptTokens == 0 {
		return fmt.Appendf(nil, `{"Claim":"%d"}`, number)
	}
	body, _ := json.Marshal(chat{
		Model: e.Service, Stream: stream, MaxTokens: e.OutputTokens,
		Messages: []message{{Role: "user", Content: e.Prompt(number)}},
	})
	return body
}

// Target returns the method and path of the request.
func (e Entry) Target(d *spec.Deployment) (method, path string) {
	if e.PromptTokens > 0 {
		return "POST", "/v1/chat/completions"
	}
	for _, s := range d.Services {
		if s.Name != e.Service {
			continue
		}
		if !e.Idempotent || len(s.Idempotent) == 0 {
			return "POST", s.Prefix + "orders"
		}
		method, pattern, _ := strings.Cut(s.Idempotent[0], " ")
		return method, strings.TrimSuffix(pattern, "*") + "item"
	}
	return "GET", "/"
}
