package broker

import (
	"errors"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// A process whose links to most backend servers of a service are cut may still be able to
// connect to an address of the others, at which something else listens. Package usage
// decides whether these servers count as unreachable; this file says what a request shows of
// its server, and which requests are still sent there.

// result returns the result of a failed attempt for the state of the backend server.
func (j *job) result(f *failure) usage.Result {
	return usage.Result{Verdict: j.verdict(f), Answer: j.answer(f)}
}

// answer returns what a failed attempt shows of the way to its backend server if no response
// that may be relayed has begun.
func (j *job) answer(f *failure) usage.Answer {
	var status *statusError
	switch {
	case f.dialFailed || j.ctx.Err() != nil:
		return usage.Unproven
	case f.reason == serverRefused && errors.As(f.err, &status) && !status.replaced:
		return usage.Responded
	}
	return usage.Unanswered
}

// tryAgain reports whether the request, of a process that reaches no backend server of the
// service, is used to find out whether one that did not respond does now. It must be
// repeatable, and have an attempt left for a peer.
func (j *job) tryAgain() bool {
	if j.hop != nil || !j.route.Repeatable() || j.route.Attempts < 2 {
		return false
	}
	now, excluded := time.Now(), map[string]bool{}
	for _, s := range j.broker.Roster.Service(j.service.Name) {
		switch {
		case s.Role == roster.Prefill:
		case j.probed == "" && j.software.accepts(s) && j.broker.Usage.TryAgain(now, s):
			j.probed = s.ID
		default:
			excluded[s.ID] = true
		}
	}
	if j.probed != "" {
		j.excluded = excluded
	}
	return j.probed != ""
}

// endProbe allows other backend servers for a request that was used to try one.
func (j *job) endProbe() {
	if j.probed != "" {
		j.probed, j.excluded = "", nil
	}
}

// leaves reports whether the request should go to a peer and not to the backend server of the
// permit, as that has stopped responding while the request waited. It returns true once.
func (j *job) leaves(p *permit) bool {
	if j.left || j.isTrial() || j.hop != nil || p.server.ID == j.probed || !j.mayMove() || j.attempts >= j.route.Attempts || !j.cutOff() {
		return false
	}
	j.left = true
	return true
}

// watch has Usage track whether the backend servers of a service respond while connections to
// half of them fail.
func (r *reconnector) watch(now time.Time) {
	b := r.broker
	if b.undialable.Load() == 0 && len(r.watched) == 0 {
		return
	}
	for name := range b.Table().Services {
		cut := b.reach(name, software{}).MayBeCut()
		if !cut && !r.watched[name] {
			continue
		}
		b.Usage.Watch(now, b.Roster.Service(name), cut)
		if delete(r.watched, name); cut {
			r.watched[name] = true
		}
	}
}
