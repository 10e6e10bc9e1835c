package broker

import (
	"errors"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
)

// errQuarantined means that the request, or a part of its prompt, crashes backend
// servers.
var errQuarantined = errors.New("the request crashes backend servers")

// quarantined reports whether the request must not be sent, as it crashes backend
// servers.
func (j *job) quarantined() bool {
	q := j.broker.Quarantine
	if q == nil {
		return false
	}
	until, found := q.Until(time.Now(), j.request.content, j.request.sharedParts())
	j.quarantinedUntil = until
	return found
}

// recordServed records that the request was served completely, so that neither it nor a
// part of its prompt crashes backend servers. A body whose end is that of the connection
// proves nothing.
func (j *job) recordServed(response *Response) {
	if q := j.broker.Quarantine; q != nil && !response.UntilClose {
		q.Succeeded(j.request.content, j.request.sharedParts())
		// The server may have refused the request with an error status and not run it.
		j.endTrial(response.Status < 300)
	}
}

// beginTrial reports whether the request, which has a part in quarantine, may be sent as the
// trial of that. A stream that is resumed, or a request that is served for a peer, is none.
func (j *job) beginTrial() bool {
	if j.broker.Trials == nil || j.hop != nil || j.request.After != "" || j.cutOff() {
		return false
	}
	t, begun := j.broker.Trials.Try(time.Now(), j.request.content, j.request.sharedParts())
	if !begun {
		return false
	}
	j.trial = t
	return t.Agree(j.ctx)
}

// sendTrial reports whether the request may be sent now as a trial. That is once.
func (j *job) sendTrial() bool {
	if j.trial == nil || j.trialSent || !j.trial.Send() {
		return false
	}
	j.trialSent = true
	return true
}

// isTrial reports whether the request is a trial, or was one that was sent. That must not be
// sent a second time, here or by a peer.
func (j *job) isTrial() bool { return j.trial != nil || j.trialSent }

// endTrial ends the trial that the request is, if it is one.
func (j *job) endTrial(served bool) {
	if j.trial == nil {
		return
	}
	// Attempts whose server could not be connected to are not counted.
	j.trial.End(j.trialSent && j.attempts > 0, served)
	j.trial = nil
}

// sharedParts returns the subjects of the parts of the prompt that other requests may share:
// all but the last. Each of them may crash backend servers. The caller must not change them.
func (r *Request) sharedParts() []string {
	if r.subjects == nil && len(r.Parts) > 1 {
		r.subjects = make([]string, 0, len(r.Parts)-1)
		for _, p := range r.Parts[:len(r.Parts)-1] {
			r.subjects = append(r.subjects, crash.PartSubject(p.ID))
		}
	}
	return r.subjects
}

// maxChain bounds the parts of a prompt by which an engine is chosen that keeps them.
const maxChain = 16

// chain returns the parts that other requests may share, at most maxChain.
func (r *Request) chain() []Part {
	return r.Parts[:min(max(len(r.Parts)-1, 0), maxChain)]
}
