package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Scaling bounds the backend servers that may be ordered for a service and has their
// prices.
type Scaling struct {
	// Min and Max bound the number of backend servers in each availability zone, both
	// kinds together.
	Min, Max int
	// BootTime is the time from an order until a new backend server serves.
	BootTime time.Duration
	// SpotPrice is the price of a spot server, as a share of that of an on-demand one.
	SpotPrice float64
	// ZonePrices are the prices of an on-demand server, per second, by availability zone.
	// Servers may be ordered in these zones only.
	ZonePrices map[string]float64
}

// Fault is a part of the configuration that is not used because it is invalid.
type Fault struct {
	// Service and Key say where it is.
	Service, Key string
	Reason       string
}

// String returns the text of the fault.
func (f Fault) String() string {
	return fmt.Sprintf("service %q: %s: %s", f.Service, f.Key, f.Reason)
}

// Limits of the values of Scaling. They exceed those of any known platform.
const (
	// maxScaled is the highest number of backend servers in a zone.
	maxScaled = 1 << 16
	// maxBootSeconds is a day.
	maxBootSeconds = 24 * 3600
)

// documentScaling is the JSON form of Scaling. The keys are parsed one by one, so that
// a fault names its key.
type documentScaling struct {
	Min, Max, BootSeconds, SpotPrice, ZonePrices json.RawMessage
}

// parseScaling parses the Scaling of a service. It returns nil if it is absent or has
// faults.
func parseScaling(service string, data json.RawMessage) (*Scaling, []Fault) {
	if len(data) == 0 || bytes.Equal(data, []byte("null")) {
		return nil, nil
	}
	var d documentScaling
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, []Fault{{service, "Scaling", "not an object"}}
	}
	p := scalingParser{service: service}
	s := &Scaling{
		Min: p.count("Min", d.Min, false), Max: p.count("Max", d.Max, true),
		BootTime:  milliseconds(p.number("BootSeconds", d.BootSeconds, maxBootSeconds) * 1000),
		SpotPrice: p.number("SpotPrice", d.SpotPrice, math.MaxFloat64), ZonePrices: p.prices(d.ZonePrices),
	}
	if len(p.faults) == 0 && s.Min > s.Max {
		p.fault("Min", "above Max")
	}
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return s, nil
}

// scalingParser collects the faults of one Scaling.
type scalingParser struct {
	service string
	faults  []Fault
}

func (p *scalingParser) fault(key, reason string) {
	p.faults = append(p.faults, Fault{p.service, "Scaling." + key, reason})
}

// number returns the non-negative number of a required key.
func (p *scalingParser) number(key string, data json.RawMessage, highest float64) float64 {
	if len(data) == 0 {
		p.fault(key, "missing")
		return 0
	}
	var n *float64
	err := json.Unmarshal(data, &n)
	switch {
	case err != nil || n == nil:
		p.fault(key, "not a number")
	case *n < 0:
		p.fault(key, "negative")
	case *n > highest:
		p.fault(key, fmt.Sprintf("above %v", highest))
	default:
		return *n
	}
	return 0
}

// count returns the whole number of a key, 0 if it is absent and not required.
func (p *scalingParser) count(key string, data json.RawMessage, required bool) int {
	if len(data) == 0 && !required {
		return 0
	}
	n := p.number(key, data, maxScaled)
	if n != math.Trunc(n) {
		p.fault(key, "not a whole number")
	}
	return int(n)
}

// prices returns the prices by zone.
func (p *scalingParser) prices(data json.RawMessage) map[string]float64 {
	var zones map[string]json.RawMessage
	if err := json.Unmarshal(data, &zones); err != nil || len(zones) == 0 {
		p.fault("ZonePrices", "no object with the price of at least one availability zone")
		return nil
	}
	prices := make(map[string]float64, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if zone == "" {
			p.fault("ZonePrices", "an availability zone has no name")
		}
		prices[zone] = p.number("ZonePrices."+zone, zones[zone], math.MaxFloat64)
	}
	return prices
}
