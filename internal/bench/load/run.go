package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/stand/model"
)

// Outcome is what became of a request, as its caller sees it.
type Outcome struct {
	Number int
	Entry  Entry
	// ID is the identity that the system gave the request.
	ID     string
	Status int
	// Said is what the system said of the request's outcome.
	Said   retry.Outcome
	Reason string
	// Whole is set if the answer came whole, Right if it was the answer to
	// this request.
	Whole, Right bool
	// Cut is set if an answer began and broke off.
	Cut bool
	// Lost is set if the connection failed, so that nothing is known.
	Lost         bool
	First, Total time.Duration
	Gaps         []time.Duration
	Err          error
}

// InTime reports whether the answer was whole, right and within its deadline.
func (o Outcome) InTime() bool { return o.Whole && o.Right && o.Total <= o.Entry.Deadline }

// Runner sends a trace.
type Runner struct {
	Deployment *spec.Deployment
	// Targets are the entry VMs; requests go to them in turn.
	Targets []netip.AddrPort
	// Live, if set, says which targets the balancer would use.
	Live func(target netip.AddrPort) bool
	// Done, if set, is called for each request that has ended.
	Done func(Outcome)
	// Base is added to the numbers of the requests, so that several runs
	// against the same stand-ins differ.
	Base int

	client call.Client
}

// Run sends the trace and waits for the answers.
func (r *Runner) Run(ctx context.Context, trace []Entry) *Result {
	result := &Result{Outcomes: make([]Outcome, len(trace))}
	began := time.Now()
	var group sync.WaitGroup
	for i, e := range trace {
		timer := time.NewTimer(time.Until(began.Add(e.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			result.Outcomes = result.Outcomes[:i]
			group.Wait()
			return result
		}
		group.Go(func() {
			o := r.send(ctx, r.Base+i, e)
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

// target returns the entry VM for a request, as a balancer would.
func (r *Runner) target(number int) netip.AddrPort {
	for i := range r.Targets {
		t := r.Targets[(number+i)%len(r.Targets)]
		if r.Live == nil || r.Live(t) {
			return t
		}
	}
	return r.Targets[number%len(r.Targets)]
}

// grace is how long after its deadline an answer is still waited for.
const grace = 10 * time.Second

func (r *Runner) send(ctx context.Context, number int, e Entry) Outcome {
	ctx, cancel := context.WithTimeout(ctx, e.Deadline+grace)
	defer cancel()
	o := Outcome{Number: number, Entry: e}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	method, path := e.Target(r.Deployment)
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	target := r.target(number)
	request.Header.SetHost(target.String())
	request.Header.Set(entry.DeadlineHeader, strconv.FormatInt(e.Deadline.Milliseconds(), 10))
	request.Header.Set(entry.AccountHeader, e.Account)
	request.Header.Set(entry.PriorityHeader, strconv.Itoa(e.Priority))
	if e.Kind() == Write {
		request.Header.Set(entry.KeyHeader, "key-"+strconv.Itoa(number))
	}
	if method == fasthttp.MethodPost {
		request.SetBodyRaw(e.Body(number, true))
	}
	began := time.Now()
	x, err := r.client.Do(ctx, target, request, call.Options{Fresh: e.Kind() == Write})
	if err != nil {
		o.Lost, o.Err, o.Total = true, err, time.Since(began)
		return o
	}
	defer x.Close()
	o.Status = x.Status()
	o.ID = string(x.Response.Header.Peek(entry.IDHeader))
	o.Reason = string(x.Response.Header.Peek(entry.ReasonHeader))
	o.Said = said(string(x.Response.Header.Peek(entry.OutcomeHeader)))
	if o.Status != 200 || e.PromptTokens == 0 {
		o.readPlain(x, began)
		return o
	}
	o.readEvents(x, began, model.Text(e.Prompt(number), e.OutputTokens))
	return o
}

func said(text string) retry.Outcome {
	switch text {
	case retry.NotRun.String():
		return retry.NotRun
	case retry.Run.String():
		return retry.Run
	}
	return retry.Unknown
}

func (o *Outcome) readPlain(x *call.Exchange, began time.Time) {
	body, err := x.Body(64 << 20)
	o.Total = time.Since(began)
	o.First = o.Total
	if err != nil {
		o.Cut, o.Err = true, err
		return
	}
	o.Whole = o.Status == 200
	o.Right = bytes.Contains(body, []byte(o.ID))
}

// readEvents reads a streamed answer and compares it with what it should be.
func (o *Outcome) readEvents(x *call.Exchange, began time.Time, want string) {
	var text, rest []byte
	buffer := make([]byte, 16<<10)
	last := began
	ended := false
	for {
		n, err := x.Read(buffer)
		now := time.Now()
		rest = append(rest, buffer[:n]...)
		for {
			end := bytes.Index(rest, []byte("\n\n"))
			if end < 0 {
				break
			}
			event := rest[:end]
			rest = rest[end+2:]
			if bytes.Equal(event, []byte("data: [DONE]")) {
				ended = true
				continue
			}
			if bytes.HasPrefix(event, []byte("event: error")) {
				o.Cut = true
				o.Err = fmt.Errorf("error event: %s", event)
				continue
			}
			if !bytes.Contains(event, []byte(o.ID)) {
				o.Err = errors.New("an event carries another identity")
			}
			text = append(text, content(event)...)
			if last == began {
				o.First = now.Sub(began)
			} else {
				o.Gaps = append(o.Gaps, now.Sub(last))
			}
			last = now
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				o.Err = err
			}
			break
		}
	}
	o.Total = time.Since(began)
	o.Whole = ended && !o.Cut
	o.Cut = !o.Whole
	o.Right = string(text) == want && o.Err == nil
}

// content returns the text of an event.
func content(event []byte) []byte {
	_, after, ok := bytes.Cut(event, []byte(`"delta":{"content":"`))
	if !ok {
		return nil
	}
	text, _, _ := bytes.Cut(after, []byte(`"}`))
	return text
}
