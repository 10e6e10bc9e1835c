package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/stand/model"
)

// Outcome is the result of a request as its client observes it. Except for
// Earlier, the fields describe the last attempt.
type Outcome struct {
	// Number is the index in the trace plus Runner.Base.
	Number int
	// Target is the index of the entry VM.
	Target int
	Entry  Entry
	Began  time.Time
	// Earlier has the outcomes that the system reported for the earlier attempts
	// of a keyed call, oldest first.
	Earlier []retry.Outcome
	// ID is the request ID that the system assigned.
	ID     string
	Status int
	// Reported is the outcome that the system reported, and Reason its reason for
	// a rejection or an error.
	Reported retry.Outcome
	Reason   string
	// Complete is set if the response is complete, and Correct if it belongs to
	// this request: a stream has the expected text, another response has the
	// request ID. Correct is always set for a Write whose response was read to
	// its end, since a stored response has the request ID of an earlier attempt.
	Complete, Correct bool
	// Truncated is set if the response began and then ended early.
	Truncated bool
	// ConnectionLost is set if the connection failed or the request timed out
	// before the response began, so that the client can't tell whether it ran.
	ConnectionLost bool
	// First is the time to the first event of a stream and Total the time to the
	// end of the response. For responses that aren't streamed, both are the time
	// to the end.
	First, Total time.Duration
	// Gaps are the times between consecutive events of a stream.
	Gaps []time.Duration
	// Err is the error of the connection or the response, nil for none.
	Err error
}

// InTime reports whether the response was complete, correct and within its
// deadline.
func (o Outcome) InTime() bool { return o.Complete && o.Correct && o.Total <= o.Entry.Deadline }

// Client sends requests to the entry VMs: over the network, or by a function call
// to a process in the same program. It must be safe for concurrent use.
type Client interface {
	// Send sends a request to the entry VM with the index target. An error
	// means that the connection failed or ctx ended. The caller closes the reply.
	Send(ctx context.Context, target int, r entry.Request) (*entry.Reply, error)
}

// Runner sends the requests of a trace. The fields are set before Run.
type Runner struct {
	Deployment *spec.Deployment
	Client     Client
	// Targets is the number of entry VMs, which get the requests round-robin.
	Targets int
	// Live, if set, reports whether a target is in the load balancer's rotation.
	// It is called before each attempt, also concurrently.
	Live func(target int) bool
	// Done, if set, is called after each request, also concurrently.
	Done func(Outcome)
	// Base is added to the numbers of the requests, so that several runs against
	// the same stand-ins use different prompts and idempotency keys.
	Base int
	// MaxRetries is the largest number of retries of a keyed call without a
	// complete response. A retry goes to the next live entry VM.
	MaxRetries int
}

// Run sends the trace and waits for the responses. If ctx ends earlier, the rest
// of the trace isn't sent and the result has the outcomes of what was sent.
func (r *Runner) Run(ctx context.Context, trace []Entry) *Result {
	result := &Result{Outcomes: make([]Outcome, len(trace))}
	began := time.Now()
	var group sync.WaitGroup
	for i, e := range trace {
		if !timer.Wait(ctx, time.Until(began.Add(e.At))) {
			result.Outcomes = result.Outcomes[:i]
			group.Wait()
			return result
		}
		group.Go(func() {
			o := r.sendWithRetries(ctx, r.Base+i, e)
			result.Outcomes[i] = o
			if r.Done != nil {
				r.Done(o)
			}
		})
	}
	group.Wait()
	result.Took = time.Since(began)
	return result
}

// target returns the entry VM for a request as a round-robin load balancer
// chooses it: the next one that is live, or the next one if none is.
func (r *Runner) target(number int) int {
	for i := range r.Targets {
		t := (number + i) % r.Targets
		if r.Live == nil || r.Live(t) {
			return t
		}
	}
	return number % r.Targets
}

// retryDelay is half the delay before the first retry of a keyed call; the delay
// doubles with each retry.
const retryDelay = 500 * time.Millisecond

// sendWithRetries sends a request, and retries a keyed call until its response is
// complete or there were MaxRetries retries.
func (r *Runner) sendWithRetries(ctx context.Context, number int, e Entry) Outcome {
	o := r.send(ctx, number, r.target(number), e)
	for i := 1; i <= r.MaxRetries && e.Kind() == Write && !o.Complete && ctx.Err() == nil; i++ {
		if !timer.Wait(ctx, retryDelay<<i) {
			break
		}
		retried := r.send(ctx, number, r.target(number+i), e)
		retried.Earlier = append(o.Earlier, o.Reported)
		o = retried
	}
	return o
}

// deadlineGrace is how long after its deadline a response is still awaited.
const deadlineGrace = 10 * time.Second

// send makes one attempt.
func (r *Runner) send(ctx context.Context, number, target int, e Entry) Outcome {
	ctx, cancel := context.WithTimeout(ctx, e.Deadline+deadlineGrace)
	defer cancel()
	o := Outcome{Number: number, Target: target, Entry: e, Began: time.Now()}
	request := entry.Request{Account: e.Account, Priority: e.Priority, Deadline: o.Began.Add(e.Deadline)}
	request.Method, request.Path = e.Target(r.Deployment)
	if e.Kind() == Write {
		request.Key = "key-" + strconv.Itoa(number)
	}
	if request.Method == fasthttp.MethodPost {
		request.Body = e.Body(number, true)
	}
	reply, err := r.Client.Send(ctx, target, request)
	if err != nil {
		o.ConnectionLost, o.Err, o.Total = true, err, time.Since(o.Began)
		return o
	}
	defer reply.Close()
	o.Status, o.ID, o.Reason, o.Reported = reply.Status, reply.ID, reply.Reason, reply.Outcome
	if o.Status != 200 || e.PromptTokens == 0 {
		o.readBody(reply.Body)
		return o
	}
	o.readEvents(reply.Body, model.Text(e.Prompt(number), e.OutputTokens))
	return o
}

// maxBody bounds a response that isn't streamed, maxEvent an event, in bytes.
const (
	maxBody  = 64 << 20
	maxEvent = 1 << 20
)

// errTooLong means that a response has more than maxBody bytes, or an event more than maxEvent.
var errTooLong = errors.New("response or event over the limit")

// readBody reads a response that isn't streamed: that of a plain service, or an
// error.
func (o *Outcome) readBody(r io.Reader) {
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLong
	}
	o.Total = time.Since(o.Began)
	o.First = o.Total
	if err != nil {
		o.Truncated, o.Err = true, err
		return
	}
	o.Complete = o.Status == 200
	// The stored response of a keyed call has the request ID of the first
	// attempt.
	o.Correct = o.Entry.Kind() == Write || bytes.Contains(body, []byte(o.ID))
}

// readEvents reads a streamed response, measures the times of its events, and
// compares its text with want.
func (o *Outcome) readEvents(r io.Reader, want string) {
	var text, pending []byte
	buffer := make([]byte, 16<<10)
	last := o.Began
	ended := false
	for {
		n, err := r.Read(buffer)
		now := time.Now()
		pending = append(pending, buffer[:n]...)
		for {
			end := bytes.Index(pending, []byte("\n\n"))
			if end < 0 {
				break
			}
			event := pending[:end]
			pending = pending[end+2:]
			if bytes.Equal(event, []byte("data: [DONE]")) {
				ended = true
				continue
			}
			if bytes.HasPrefix(event, []byte("event: error")) {
				o.Truncated = true
				o.Err = fmt.Errorf("error event: %s", event)
				continue
			}
			if !bytes.Contains(event, []byte(o.ID)) {
				o.Err = errors.New("an event lacks the request ID")
			}
			text = append(text, content(event)...)
			if last.Equal(o.Began) {
				o.First = now.Sub(o.Began)
			} else {
				o.Gaps = append(o.Gaps, now.Sub(last))
			}
			last = now
		}
		if err == nil && len(pending) > maxEvent {
			err = errTooLong
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				o.Err = err
			}
			break
		}
	}
	o.Total = time.Since(o.Began)
	o.Complete = ended && !o.Truncated
	o.Truncated = !o.Complete
	o.Correct = string(text) == want && o.Err == nil
}

// content returns the generated text in an event, nil if there is none.
func content(event []byte) []byte {
	_, after, ok := bytes.Cut(event, []byte(`"delta":{"content":"`))
	if !ok {
		return nil
	}
	text, _, _ := bytes.Cut(after, []byte(`"}`))
	return text
}
