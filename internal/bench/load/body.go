package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

// filler is the text of which prompts are made. It includes multi-byte runes.
var filler = strings.Repeat("phase current 41A; hall sensor ok; temperature 63C; താപനില ശരി; ", 4096)

// Prompt returns the prompt of the entry for the request with this number. The
// text after the common prefix differs between numbers.
func (e Entry) Prompt(number int) string {
	var text strings.Builder
	if e.PrefixTokens > 0 {
		text.WriteString(truncate(fmt.Sprintf("manual %d: %s", e.PrefixID, filler), min(e.PrefixTokens, e.PromptTokens)))
	}
	rest := e.PromptTokens*prefix.BytesPerToken - text.Len()
	if rest > 0 {
		text.WriteString(truncate(fmt.Sprintf("request %d: %s", number, filler), (rest+prefix.BytesPerToken-1)/prefix.BytesPerToken))
	}
	return text.String()
}

// truncate returns the first tokens of text, counting prefix.BytesPerToken bytes
// a token. An incomplete rune at the end is replaced by a space.
func truncate(text string, tokens int) string {
	n := min(tokens*prefix.BytesPerToken, len(text))
	return strings.ToValidUTF8(text[:n], " ")
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat is the body of a chat completion request.
type chat struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// Body returns the body of the request with this number: a chat completion for a
// model, a small JSON object for a plain service. stream applies to models only.
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

// Target returns the method and path of the request. An idempotent call of a
// plain service uses the first pattern that the deployment declares idempotent,
// and other calls of plain services are a POST.
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
