package broker

import (
	"errors"
	"maps"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/auth"
	"ebonyscale.example/ebonyscale/internal/route/detail"
	"ebonyscale.example/ebonyscale/internal/route/shed"
)

// Explanation says where a request would be sent now, and why.
type Explanation = detail.Explanation

// ExplainQuery describes a request that is not sent. It has the account's name in place of
// a key.
type ExplainQuery struct {
	Host, Path, Account           string
	PromptTokens, MaxOutputTokens int
	Parts                         []Part
}

// Errors of Explain. auth.ErrNoAccount is another one.
var (
	ErrNoConfiguration = errors.New("the process has no configuration yet")
	ErrNoRoute         = errors.New("no route matches the host and path")
)

// explainer evaluates a request that is not sent. It calls the decisions of Serve in the
// same order.
type explainer struct {
	*job
	now    time.Time
	result Explanation
	// early is the decision that is made before the queue, nil if there is none.
	early *detail.Decision
}

// Explain returns where a request would be sent now and why, as this process sees it. It
// changes nothing but the metric Explained: what Serve does next is the same with and
// without it. The error is ErrNoConfiguration, ErrNoRoute or auth.ErrNoAccount.
func (b *Broker) Explain(q ExplainQuery) (Explanation, error) {
	b.Meters.Add("Explained", 1)
	x, err := b.newExplainer(time.Now(), q)
	if err != nil {
		return Explanation{}, err
	}
	x.decideEarly()
	x.describeRequest()
	n, alternative := x.firstNeeds()
	served := x.evaluate(n, alternative)
	if !served && n.key.role == roster.Prefill {
		// Serve leaves the prefill to the decode engine then.
		x.evaluate(x.decodeNeedAfter(KVSource{}), nil)
	}
	return x.result, nil
}

// newExplainer finds the route, the account and the service.
func (b *Broker) newExplainer(now time.Time, q ExplainQuery) (*explainer, error) {
	t := b.Table()
	if t == nil {
		return nil, ErrNoConfiguration
	}
	r := &Request{Host: q.Host, Path: q.Path, Arrived: now, Parts: q.Parts, PromptTokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens}
	route, found := t.Match(r.Host, r.pathOnly())
	if !found {
		return nil, ErrNoRoute
	}
	x := &explainer{job: &job{broker: b, request: r, table: t, route: route, deadline: now.Add(route.Timeout)}, now: now}
	if err := x.findAccount(q.Account); err != nil {
		return nil, err
	}
	b.dryRun(func() { x.service = t.Services[route.PickService(b.nextRandom())] })
	r.content = r.contentHash(x.account.Name)
	return x, nil
}

// findAccount is authenticate for an account that is given by name.
func (x *explainer) findAccount(name string) error {
	b := x.broker
	if !x.table.Accounts.Required() {
		if name != "" {
			return auth.ErrNoAccount
		}
		return nil
	}
	x.accounts = true
	stale := b.Unconfirmed != nil && b.Unconfirmed(x.now)
	account, err := auth.DecideNamed(&x.table.Accounts, x.route.Public, name, stale)
	switch {
	case errors.Is(err, auth.ErrNoAccount):
		return err
	case errors.Is(err, auth.ErrUnconfirmed):
		x.early = x.rejection(unconfirmed, 0)
	case err != nil:
		x.early = &detail.Decision{Action: detail.Reject, Status: 401, Reason: detail.Cause(unauthorized)}
	}
	x.account = account
	return nil
}

// decideEarly makes the decisions that run makes before the request waits for a permit.
func (x *explainer) decideEarly() {
	b := x.broker
	switch {
	case x.early != nil:
	case !b.accepts(x.now, x.deadline):
		x.early = x.rejection(stopping, 0)
	case x.quarantined():
		x.early = x.rejection(quarantined, 0)
	case x.cutOff() && b.Carrier != nil:
		if peer := b.Carrier.Choose(x.service.Name, nil); peer != "" {
			x.early = &detail.Decision{Action: detail.HandOver, Peer: peer}
		}
	}
	x.restrict()
}

// rejection returns the decision to reject the request. wait is the predicted wait for
// capacity with the order by cost to callers.
func (x *explainer) rejection(reason Reason, wait time.Duration) *detail.Decision {
	left := x.deadline.Sub(x.now)
	earliest, latest := retryAfterRange(left)
	if x.broker.byCost() {
		earliest, latest = shed.RetryAfter(wait, left, 0), shed.RetryAfter(wait, left, ^uint64(0))
	}
	if end := x.quarantinedUntil.Sub(x.now); !x.quarantinedUntil.IsZero() && end > 0 {
		earliest, latest = end, end
	}
	return &detail.Decision{Action: detail.Reject, Status: 503, Reason: detail.Cause(reason), RetryAfterMinMs: detail.Ms(earliest), RetryAfterMaxMs: detail.Ms(latest)}
}

// describeRequest fills in what does not depend on the backend servers.
func (x *explainer) describeRequest() {
	x.result = Explanation{
		Process: x.broker.Name, AvailabilityZone: x.broker.Zone, Version: x.table.Version, Route: x.route.Name, Kind: string(x.route.Kind),
		Account: x.account.Name, Priority: x.account.Rank(x.route.Priority), Service: x.service.Name,
		LatencyTargetMs: detail.Ms(x.route.LatencyTarget), TimeLeftMs: detail.Ms(x.deadline.Sub(x.now)),
	}
	for _, t := range x.route.Targets {
		x.result.Targets = append(x.result.Targets, detail.Target{Service: t.Service, Weight: t.Weight})
	}
}

// prompted reports whether the request has a prompt for an engine.
func (x *explainer) prompted() bool {
	return x.route.Kind == table.Stream && x.route.Prompted && x.service.Engine != nil
}

// firstNeeds returns what the first call to a backend server needs.
func (x *explainer) firstNeeds() (need, *need) {
	switch {
	case !x.prompted():
		return x.need("", usage.Short, plainPerSlot), nil
	case x.request.PromptTokens <= smallPrompt:
		return x.decodeNeedAfter(KVSource{}), nil
	}
	n, alternative := x.prefillNeeds()
	return n, &alternative
}

// dryRun calls do with b.mu held, and undoes what decisions leave behind: the state of the
// random choices, the evaluated engines and empty queues.
func (b *Broker) dryRun(do func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	random, sets, queues := b.randomState, maps.Clone(b.engineSets), maps.Clone(b.queues)
	defer func() { b.randomState, b.engineSets, b.queues = random, sets, queues }()
	do()
}

// evaluate fills in the queues, the backend servers and the decision. It returns false if no
// backend server can serve the needs.
func (x *explainer) evaluate(n need, alternative *need) (served bool) {
	b := x.broker
	w := &waiter{need: n, alternative: alternative, since: x.now}
	b.dryRun(func() {
		// Serve has picked the service with the first number.
		b.nextRandom()
		v := b.arrivalViews(w)
		served = v.first.usable > 0
		decision, used := x.decide(w, v)
		if x.early != nil {
			decision = *x.early
		}
		x.result.Decision, x.result.Work, x.result.Software = decision, x.workOf(used.key), w.need.software.version
		x.result.Queues = x.queues(w, v)
		x.result.Servers = x.servers(w)
	})
	return served
}

// workOf returns the kind of work of a queue.
func (x *explainer) workOf(key queueKey) detail.Work {
	switch {
	case key.role == roster.Prefill:
		return detail.Prefill
	case key.work == usage.LocalPrefill:
		return detail.LocalPrefill
	case !x.prompted():
		return detail.Plain
	case key.work == usage.Long:
		return detail.DecodeLong
	}
	return detail.DecodeShort
}

// decide is admit for a request that is not sent. used is the need that the permit is for,
// that of the queue in which the request waits if there is none. b.mu must be held.
func (x *explainer) decide(w *waiter, v views) (d detail.Decision, used need) {
	b := x.broker
	q := b.queue(w.need.key)
	switch {
	case v.first.usable == 0:
		return *x.rejection(noServer, 0), w.need
	case b.byCost():
		return x.decideByCost(w, q, v)
	case q.hasAhead(w.need):
		d = detail.Decision{Action: detail.Wait, Reason: detail.Ahead}
	default:
		d, used = x.sendOrWait(w, v)
	}
	if d.Action == detail.Wait {
		used = w.need
		if q.arrivalWait(w.need, v) > w.need.maxWait {
			d = *x.rejection(overloaded, 0)
		}
	}
	return d, used
}

// sendOrWait returns the decision for a request that no waiter precedes. b.mu must be held.
func (x *explainer) sendOrWait(w *waiter, v views) (detail.Decision, need) {
	n, chosen, free := x.broker.freePermit(x.now, w, v)
	switch {
	case free:
		return detail.Decision{Action: detail.Send, Server: chosen.server.ID}, n
	case v.first.server.ID != "" || v.alternative != nil && v.alternative.server.ID != "":
		return detail.Decision{Action: detail.Wait, Reason: detail.ShareUsed}, w.need
	}
	return detail.Decision{Action: detail.Wait, Reason: detail.NoPermit}, w.need
}
