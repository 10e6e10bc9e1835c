package scale

import "time"

// Thresholds of the decision. Utilisations are fractions of the slots of decode engines
// and plain backend servers, and of the time of prefill engines.
const (
	// horizon is how long the highest load counts. It covers a burst and the boot time
	// after it.
	horizon = 20 * time.Second
	// meanWindow is the time constant of the mean load. It is many times a burst, so that
	// on-demand servers do not follow bursts.
	meanWindow = 90 * time.Second
	// averageOver is the span of one load value. Load above target for this long is acted
	// upon; shorter peaks are queued.
	averageOver = time.Second
	// warmupTime is how long a new holder only observes the load of a service, until each
	// peer has sent several status messages.
	warmupTime = 3 * time.Second
	// keepFor is how long after the first load the total is not lowered below the number of
	// servers first seen: the operator has sized the fleet for a load that is not yet known.
	// Until then servers are only replaced by cheaper ones.
	keepFor = 10 * time.Minute
)

// Capacity of both kinds together.
const (
	// peakUtilisation is the target at the highest load of the horizon.
	peakUtilisation = 0.5
	// burstFactor is the load of a burst as a factor of the mean load, and
	// burstUtilisation the target in such a burst: above it, prefills queue up. Bursts end
	// before servers ordered in them serve, so the capacity for them is always held.
	burstFactor      = 2.5
	burstUtilisation = 0.75
	// lossUtilisation is the utilisation at the present load after the loss of all spot
	// servers of the zone that has the most.
	lossUtilisation = 0.95
	// lostZones is the number of zones whose spot servers may be lost while the number of
	// servers first seen is kept: those of a zone are reclaimed together, and cost a
	// fraction.
	lostZones = 1
	// minPerRole is the least number of servers of each role in use: one may fail.
	minPerRole = 2
)

// On-demand capacity.
const (
	// baseUtilisation is the mean load over the capacity of the on-demand servers alone: at 2,
	// they carry half of it. That is what is left while all spot servers are reclaimed at once,
	// until on-demand servers that are ordered then have booted. If the spot servers of one or
	// two zones are reclaimed, those of the other zones carry the load. On-demand servers are
	// raised again from baseLimit on; the range between prevents swings.
	baseUtilisation = 2.0
	baseLimit       = 2.3
	// roleLimit is the utilisation from which they are raised because few of them have a
	// role by chance, roleExcess bounds that increase, as a factor. Spot servers carry that
	// load; without them the fallback does, after the boot time.
	roleLimit  = 2.6
	roleExcess = 1.25
	// onDemandShare is the least share of on-demand servers in the capacity held for
	// bursts of the mean load, and in the number of servers first seen.
	onDemandShare = 0.15
	// fallbackUtilisation is the target for the present load while spot servers are not
	// available. It leaves little headroom, since that would cost the full price. It applies
	// from fallbackLimit on; the range between prevents swings.
	fallbackUtilisation = 0.7
	fallbackLimit       = 0.85
	// reclaimUtilisation is the target for bursts of the mean load after a reclaim while no
	// zone has spot servers to order: a burst that begins then is over before on-demand
	// servers that are ordered for it serve. It also bounds how many on-demand servers leave
	// at a time to make room below Max for the spot servers that replace them.
	reclaimUtilisation = 1.0
	// zoneShare is the least share of its even part of the on-demand servers that a zone
	// gets whatever its price, zoneExcess the most: a zone that is cut off serves alone.
	zoneShare  = 0.5
	zoneExcess = 1.5
)

// Lowering.
const (
	// lowFor is how long fewer on-demand servers must have been enough before they are
	// lowered, spotLowFor the same for spot servers, which are cheap to keep.
	lowFor     = 10 * time.Second
	spotLowFor = 20 * time.Second
	// settleTime is the least time from raised on-demand servers to lowered ones, and from
	// lowered ones to ones raised for a rare role: the load for which they were raised counts
	// for so long.
	settleTime = horizon
	// onDemandSlack and spotSlack are the excess, as a factor, that is kept: the numbers do
	// not follow each change of the mean load.
	onDemandSlack = 1.15
	spotSlack     = 1.25
	// stepShare bounds one step to this share of all servers, stepEvery is the least time
	// between two: the servers that leave, and their roles, are seen before the next.
	stepShare = 0.25
	stepEvery = 3 * time.Second
	// safeUtilisation is the utilisation of each role at the present load even if all
	// servers that leave have that role.
	safeUtilisation = 0.9
	// silentShare is the share of silent processes of a zone above which nothing is lowered
	// there, as their load is not known. From cutOffShare on the zone counts as cut off: it
	// serves its own load with its own servers, and gets no orders.
	silentShare = 0.25
	cutOffShare = 0.75
)

// Orders.
const (
	// bootSlack is the time beyond the boot time within which ordered servers are
	// expected. Until then small changes of an order wait.
	bootSlack = 2 * time.Second
	// noneLeftPause is the pause of a zone and kind after it had no capacity,
	// reclaimPause that for spot servers after a reclaim: the zone has no capacity for a
	// while, and another reclaim often follows.
	noneLeftPause = 5 * time.Second
	reclaimPause  = 15 * time.Second
	// retryPause is the pause before an order is sent again whose outcome is unknown or
	// that hit the rate limit.
	retryPause = 500 * time.Millisecond
)

// Load.
const (
	// backlogTarget is the time within which the prompts at prefill engines and in the
	// queues are to be prefilled. A longer backlog counts as further load.
	backlogTarget = time.Second
)

// Roles of new servers.
const (
	// prefillShare is the expected share of prefill engines among new engines.
	// priorServers is its weight beside the servers present, whose shares vary by chance.
	prefillShare = 0.3
	priorServers = 40
)
