package core

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/pace"
)

const (
	// gapInterval is how often measured gaps are sent at least, while nothing else changes.
	gapInterval = 200 * time.Millisecond
	// maxGaps bounds the engines in a status message whose gaps it has. There are fewer if
	// the message would not fit into one packet.
	maxGaps = 28
	// maxStatus is the size up to which a status message fits into one packet, gapBytes the
	// largest size of the gaps of one engine in it.
	maxStatus = 1400
	gapBytes  = 24
)

// addGaps adds to a status message the gaps between events that this process has measured
// since the last one. It returns true if there are some: the message must be sent then, since
// it is the only one that has them. An otherwise unchanged message gets them after gapInterval.
// The caller must hold mu.
func (n *Node) addGaps(now time.Time, message *wire.News, changed bool) bool {
	if !changed && now.Sub(n.gapsSent) < gapInterval {
		return false
	}
	reports := n.Broker.GapsMeasured(min(maxGaps, (maxStatus-proto.Size(message))/gapBytes))
	if len(reports) == 0 {
		return false
	}
	n.gapsSent = now
	message.Gaps = make([]*wire.EventGaps, 0, len(reports))
	for _, r := range reports {
		// A receiver takes 0 for an absent mean.
		micros := min(max(r.Mean.Microseconds(), 1), math.MaxUint32)
		message.Gaps = append(message.Gaps, &wire.EventGaps{Server: r.Engine, Count: uint32(min(r.Count, math.MaxUint32)), MeanMicros: uint32(micros)})
	}
	return true
}

// hearGaps handles the gaps that a peer has measured.
func (n *Node) hearGaps(now time.Time, list []*wire.EventGaps) {
	if len(list) == 0 {
		return
	}
	list = list[:min(len(list), pace.MaxHeard)]
	reports := make([]pace.Report, 0, len(list))
	for _, g := range list {
		reports = append(reports, pace.Report{Engine: g.Server, Count: int(g.Count), Mean: time.Duration(g.MeanMicros) * time.Microsecond})
	}
	n.Broker.HearGaps(now, reports)
}
