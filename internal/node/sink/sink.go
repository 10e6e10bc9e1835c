// Package sink writes a process's log without ever blocking the goroutines that
// log.
//
// # Usage
//
//	var s sink.Sink
//	go s.Run(ctx, os.Stdout)
//	core := zapcore.NewCore(encoder, &s, level)
//	defer s.Flush(time.Second)
//
// Write appends lines to a bounded buffer, from which the goroutine of Run writes
// them in batches. While the output is slower than the process and the buffer is
// full, new lines are dropped and counted. The first line that fits again is
// preceded by a warning with the number of dropped lines.
package sink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBuffered bounds the buffered lines, in bytes. Only the warning about
	// dropped lines may exceed it.
	maxBuffered = 1 << 20
	// maxBatch bounds one write to the output, in bytes.
	maxBatch = 64 << 10
)

// Sink is a zapcore.WriteSyncer that never blocks. The zero value is ready to
// use. A Sink is safe for concurrent use, but Run must be called only once.
type Sink struct {
	mu     sync.Mutex
	buffer bytes.Buffer
	// unreported counts the dropped lines that no warning has reported yet.
	unreported int
	// wake signals to Run that the buffer may have lines.
	wake    chan struct{}
	once    sync.Once
	dropped atomic.Int64
	// writing is set while Run takes a batch from the buffer and writes it.
	writing atomic.Bool
}

// lazyInit makes the zero value usable.
func (s *Sink) lazyInit() { s.once.Do(func() { s.wake = make(chan struct{}, 1) }) }

// Write implements io.Writer. It buffers the line, or drops it if the buffer is
// full. It never fails and always reports the whole line as written.
func (s *Sink) Write(line []byte) (int, error) {
	s.lazyInit()
	s.mu.Lock()
	if s.buffer.Len()+len(line) > maxBuffered {
		s.unreported++
		s.dropped.Add(1)
	} else {
		if s.unreported > 0 {
			fmt.Fprintf(&s.buffer, "{\"Level\":\"warn\",\"Message\":\"lines of the log were dropped\",\"Lines\":%d}\n", s.unreported)
			s.unreported = 0
		}
		s.buffer.Write(line)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing; use Flush to wait for
// the output.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were lost: those that the buffer had no room
// for and those of batches whose write failed.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes the buffered lines to out until ctx ends, and returns the error of
// ctx. Lines that are still buffered then may stay unwritten.
func (s *Sink) Run(ctx context.Context, out io.Writer) error {
	s.lazyInit()
	batch := make([]byte, maxBatch)
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			s.writing.Store(true)
			n := s.readBatch(batch)
			if n == 0 {
				s.writing.Store(false)
				break
			}
			if _, err := out.Write(batch[:n]); err != nil {
				// The log itself has failed, so the lines are only counted.
				s.dropped.Add(int64(bytes.Count(batch[:n], []byte("\n"))))
			}
		}
	}
}

// readBatch moves buffered bytes to batch and returns their number.
func (s *Sink) readBatch(batch []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The only possible error is io.EOF, which comes with n = 0.
	n, _ := s.buffer.Read(batch)
	return n
}

// flushPoll is the interval at which Flush checks whether everything is written.
const flushPoll = 5 * time.Millisecond

// Flush waits until all buffered lines are written, but not longer than timeout.
// It needs Run to be running.
func (s *Sink) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for time.Now().Before(deadline) {
		s.mu.Lock()
		empty := s.buffer.Len() == 0
		s.mu.Unlock()
		if empty && !s.writing.Load() {
			return
		}
		<-ticker.C
	}
}
