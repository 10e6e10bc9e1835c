package relay

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// event returns event n of the request with the ID "r".
func event(n int) string { return fmt.Sprintf("data: {\"id\":\"r\",\"text\":\"%d ശരി\"}\n\n", n) }

// events returns the events of that request with the numbers from <= n < to.
func events(from, to int) string {
	var text strings.Builder
	for n := from; n < to; n++ {
		text.WriteString(event(n))
	}
	return text.String()
}

const done = "data: [DONE]\n\n"

// script is an Opener that opens sources in turn and records its arguments.
type script struct {
	sources []string
	offsets []int
	causes  []error
}

type source struct {
	io.Reader
	closed bool
}

func (s *source) Close() error {
	s.closed = true
	return nil
}

func (s *script) open(offset int, cause error) (Source, error) {
	s.offsets = append(s.offsets, offset)
	s.causes = append(s.causes, cause)
	if len(s.sources) == 0 {
		return nil, errors.New("no source is left")
	}
	text := s.sources[0]
	s.sources = s.sources[1:]
	// Reading one byte at a time splits events and characters at every position.
	return &source{Reader: oneByte{strings.NewReader(text)}}, nil
}

type oneByte struct{ r io.Reader }

func (o oneByte) Read(p []byte) (int, error) {
	if len(p) > 1 {
		p = p[:1]
	}
	return o.r.Read(p)
}

func TestStream(t *testing.T) {
	whole := events(0, 5) + done
	failure := "event: error\n\n"
	fourth := event(3)
	cases := []struct {
		name       string
		sources    []string
		want       string
		offsets    []int
		mismatched int
		broken     bool
	}{
		{"whole in one source", []string{whole}, whole, []int{0}, 0, false},
		{"truncated between events", []string{events(0, 2), events(2, 5) + done}, whole, []int{0, 2}, 0, false},
		{"truncated within an event", []string{events(0, 3) + fourth[:9], events(3, 5) + done}, whole, []int{0, 3}, 0, false},
		{"truncated within a character", []string{events(0, 3) + fourth[:strings.Index(fourth, "ശ")+1], events(3, 5) + done}, whole, []int{0, 3}, 0, false},
		{"truncated before the end marker", []string{events(0, 5), done}, whole, []int{0, 5}, 0, false},
		{"truncated three times", []string{events(0, 1), events(1, 2), events(2, 3), events(3, 5) + done}, whole, []int{0, 1, 2, 3}, 0, false},
		{"event of another request", []string{events(0, 2) + strings.Replace(event(2), `"r"`, `"q"`, 1), events(2, 5) + done}, whole, []int{0, 2}, 1, false},
		{"only another request's events", []string{strings.ReplaceAll(whole, `"r"`, `"q"`), whole}, whole, []int{0, 0}, 1, false},
		{"not UTF-8", []string{events(0, 2) + "data: {\"id\":\"r\",\"\xff\"}\n\n", events(2, 5) + done}, whole, []int{0, 2}, 0, false},
		{"comments are discarded", []string{":hello\n\n" + whole}, whole, []int{0}, 0, false},
		{"no source is left", []string{events(0, 2)}, events(0, 2) + failure, []int{0, 2}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &script{sources: c.sources}
			var ends []error
			stream := &Stream{
				ID: "r", Open: s.open, Done: func(err error) { ends = append(ends, err) },
				ErrorEvent: func(error) []byte { return []byte(failure) },
			}
			got, err := io.ReadAll(stream)
			require.NoError(t, err)
			assert.Equal(t, c.want, string(got))
			assert.Equal(t, c.offsets, s.offsets)
			assert.Equal(t, c.mismatched, stream.Mismatched)
			require.Len(t, ends, 1, "Done is called once")
			assert.Equal(t, c.broken, ends[0] != nil)
			require.NoError(t, stream.Close())
			assert.Len(t, ends, 1)
		})
	}
}

func TestPrimeFailsBeforeAnythingIsSent(t *testing.T) {
	s := &script{sources: []string{"data: {\"id\":\"q\"}\n\n"}}
	stream := &Stream{ID: "r", Open: s.open}
	require.Error(t, stream.Prime())
	assert.Zero(t, stream.Count())
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(events(0, 3) + done))
	f.Add([]byte(event(0)[:20]))
	f.Add([]byte("data: {\"id\":\"q\"}\n\n"))
	f.Add([]byte("\n\n:\n\n\xff\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		opened := false
		stream := &Stream{ID: "r", Open: func(int, error) (Source, error) {
			if opened {
				return nil, io.ErrUnexpectedEOF
			}
			opened = true
			return &source{Reader: strings.NewReader(string(data))}, nil
		}}
		got, err := io.ReadAll(stream)
		require.NoError(t, err)
		for _, text := range strings.SplitAfter(string(got), "\n\n") {
			if text != "" && text != done {
				assert.Contains(t, text, `"id":"r"`)
			}
		}
	})
}

// endless is a source that repeats the same event.
type endless struct {
	text []byte
	at   int
}

func (e *endless) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		c := copy(p[n:], e.text[e.at:])
		n += c
		e.at = (e.at + c) % len(e.text)
	}
	return n, nil
}

func (e *endless) Close() error { return nil }

func BenchmarkStream(b *testing.B) {
	text := []byte("data: {\"id\":\"entry-1-abc-1\",\"object\":\"chat.completion.chunk\",\"model\":\"verdict-llm\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"bearing \"},\"finish_reason\":null}]}\n\n")
	stream := &Stream{ID: "entry-1-abc-1", Open: func(int, error) (Source, error) { return &endless{text: text}, nil }}
	buffer := make([]byte, 4096)
	b.ReportAllocs()
	for stream.Count() < b.N {
		if _, err := stream.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
}
