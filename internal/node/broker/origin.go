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

// software binds a stream to the version of the software that began it. The zero value
// binds to none.
type software struct {
	bound   bool
	version string
}

// accepts reports whether a stream may go on at the backend server.
func (s software) accepts(server roster.Server) bool {
	return !s.bound || s.version == server.Version
}

// findOrigin binds a stream that the client resumes to the service and version that began
// it. It returns false if they are not known, or the route leads to that service no more.
// An unknown stream began at the only version that there is, if there is just one.
func (j *job) findOrigin() bool {
	start := time.Now()
	o, known := j.askOrigin()
	defer func() { j.stages = append(j.stages, zap.Duration("OriginTook", time.Since(start))) }()
	if known {
		j.originFrom = remembered
		allowed := slices.ContainsFunc(j.route.Targets, func(t table.Target) bool { return t.Service == o.Service })
		j.service = j.table.Services[o.Service]
		j.software = software{true, o.Version}
		return allowed
	}
	if j.broker.Roster.OnlyVersion(time.Now(), j.service.Name, origin.Retention) {
		j.originFrom = onlyVersion
		return true
	}
	j.originFrom = nobody
	return false
}

// originSource is how the origin of a resumed stream was found. It is written to the log.
type originSource string

// The sources of an origin.
const (
	remembered  originSource = "Remembered"  // by this process or a peer
	onlyVersion originSource = "OnlyVersion" // there is no other
	nobody      originSource = "Nobody"      // it was not found
)

// askOrigin returns the origin of the stream that the client resumes.
func (j *job) askOrigin() (origin.Origin, bool) {
	if j.broker.Origins == nil || j.request.Origin == "" {
		return origin.Origin{}, false
	}
	return j.broker.Origins.Find(j.ctx, j.request.Origin)
}

// beginStream binds the stream to the version of the backend server that has sent its
// first event, before the client gets that.
func (j *job) beginStream(server roster.Server) {
	if j.software.bound {
		return
	}
	j.software = software{true, server.Version}
	if j.broker.Origins != nil && j.route.Repeatable() && j.request.After == "" {
		j.broker.Origins.Begin(j.request.ID, origin.Origin{Service: j.service.Name, Version: server.Version})
	}
}

// bind restricts a need to the backend servers that can go on with the stream.
func (j *job) bind(n need) need {
	n.software = j.software
	if n.software.bound {
		n.maxWait = max(n.maxWait, time.Duration(resumeMaxWaitShare*float64(time.Until(j.deadline))))
	}
	return n
}
