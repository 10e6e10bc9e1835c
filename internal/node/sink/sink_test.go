package sink

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// gate is a writer whose writes block until open is closed.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func TestSinkNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var s Sink
		out := &gate{open: make(chan struct{})}
		go s.Run(ctx, out)
		line := []byte(strings.Repeat("x", 999) + "\n")
		for range 3000 {
			n, err := s.Write(line)
			assert.Equal(t, len(line), n)
			assert.NoError(t, err)
		}
		assert.Greater(t, s.Dropped(), int64(1500))
		close(out.open)
		synctest.Wait()
		_, _ = io.WriteString(&s, "last\n")
		s.Flush(time.Second)
		synctest.Wait()
		text := out.text.String()
		assert.Contains(t, text, "lines of the log were dropped")
		assert.True(t, strings.HasSuffix(text, "last\n"))
		assert.LessOrEqual(t, len(text), maxBuffered+2*maxBatch)
	})
}

func TestSinkKeepsTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var s Sink
		var out bytes.Buffer
		go s.Run(ctx, &out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = io.WriteString(&s, line)
		}
		s.Flush(time.Second)
		synctest.Wait()
		assert.Equal(t, "a\nb\nc\n", out.String())
	})
}
