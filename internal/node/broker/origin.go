package broker

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// resumeMaxWaitShare is the share of the time to the deadline that a resumed stream may
// wait for a permit. Few backend servers can go on with it, and what its client has
// already got would be lost.
const resumeMaxWaitShare = 0.5

// software restricts a stream to a version of the software. The zero value allows any.
type software struct {
	// bound is set if the stream has begun at the version, restricted if it has not begun
	// and should begin there.
	bound, restricted bool
	version           string
}

// accepts reports whether a stream may begin or go on at the backend server.
func (s software) accepts(server roster.Server) bool {
	return !s.limited() || s.version == server.Version
}

// limited reports whether only servers of the version are allowed.
func (s software) limited() bool { return s.bound || s.restricted }

// sameVersion reports whether both are restricted to the same version.
func (s software) sameVersion(o software) bool {
	return s.limited() && o.limited() && s.version == o.version
}

// findOrigin binds a stream that the client resumes to the service and version that began
// it. It returns false if they are not known, or the route leads to that service no more.
func (j *job) findOrigin() bool {
	j.originFrom = origin.Unknown
	if j.broker.Origins == nil {
		return false
	}
	start := time.Now()
	o, source := j.broker.Origins.Find(j.ctx, j.request.Origin, j.route.Host, j.request.pathOnly())
	j.originFrom = source
	j.stages = append(j.stages, zap.Duration("OriginTook", time.Since(start)))
	if source == origin.Unknown {
		return false
	}
	j.service = j.table.Services[o.Service]
	j.software = software{bound: true, version: o.Version}
	return slices.ContainsFunc(j.route.Targets, func(t table.Target) bool { return t.Service == o.Service })
}

// beginsStream reports whether the request begins a stream that clients may resume.
func (j *job) beginsStream() bool {
	return j.broker.Origins != nil && j.route.Kind == table.Stream && j.route.Repeatable() && j.request.After == "" && !j.software.bound
}

// restrict restricts a new stream to a version, if it has backend servers.
func (j *job) restrict() {
	if !j.beginsStream() {
		return
	}
	o, ok := j.broker.Origins.Restrict(j.route.Host, j.request.pathOnly())
	if !ok || o.Service != j.service.Name {
		return
	}
	version := software{restricted: true, version: o.Version}
	if slices.ContainsFunc(j.broker.Roster.Service(o.Service), func(s roster.Server) bool { return s.Role != roster.Prefill && version.accepts(s) }) {
		j.software = version
	}
}

// placeStream has it recorded where a new stream may begin, before the request is sent.
func (j *job) placeStream(server roster.Server) {
	if !j.beginsStream() {
		return
	}
	o := origin.Origin{Service: j.service.Name, Version: server.Version}
	j.recorded = j.broker.Origins.Place(j.request.ID, j.route.Host, j.request.pathOnly(), o, j.placed)
	j.placed++
}

// beginStream binds the stream to the version of the backend server that has sent its
// first event, before the client gets that. It returns false if the origin is not recorded
// and streams can begin where it need not be: it has to begin again there, or fails.
func (j *job) beginStream(server roster.Server) bool {
	if j.beginsStream() {
		if !j.broker.Origins.Await(j.ctx, j.recorded) && j.ctx.Err() == nil {
			if j.restrict(); j.software.restricted && !j.software.accepts(server) {
				return false
			}
		}
		j.broker.Origins.Begin(j.request.ID, origin.Origin{Service: j.service.Name, Version: server.Version})
	}
	j.software = software{bound: true, version: server.Version}
	return true
}

// bind restricts a need to the backend servers that can go on with the stream.
func (j *job) bind(n need) need {
	n.software = j.software
	if n.software.bound {
		n.maxWait = max(n.maxWait, time.Duration(resumeMaxWaitShare*float64(time.Until(j.deadline))))
	}
	return n
}
