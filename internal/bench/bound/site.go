package bound

import (
	"fmt"
	"math"
	"os"

	"github.com/BurntSushi/toml"
)

// Site is the part of a site file that the bound needs: a deployment and its
// days. The fields are named as in the users' site files.
type Site struct {
	Name     string
	LengthS  float64 `toml:"length_s"`
	Goal     Goal
	Services []Service
	Classes  []Class
	Traffic  []Traffic
	Days     []Day `toml:"day"`
}

// Goal has the weights of the parts of Result.Worth: the whole day, the worst
// windows, the worst class and the worst zone.
type Goal struct{ Mean, Window, Class, Zone float64 }

// Service is a service and its backend servers.
type Service struct {
	Name    string
	Slots   int
	Speeds  []float64
	Servers []struct{ Count int }
	Engine  *Engine `toml:"llm"`
}

// serverCount returns the number of the service's backend servers.
func (s Service) serverCount() float64 {
	n := 0
	for _, group := range s.Servers {
		n += group.Count
	}
	return float64(n)
}

// Engine has the speed of a service's LLM engines.
type Engine struct {
	// StepMs is the time of a decode step.
	StepMs             float64 `toml:"step_ms"`
	StepMsPerSlot      float64 `toml:"step_ms_per_slot"`
	PrefillTokensPerMs float64 `toml:"prefill_tokens_per_ms"`
	FirstMs            float64 `toml:"first_ms"`
	// Stride is the number of decode steps between two pieces of a stream.
	Stride float64
	// Chunk is the largest number of prompt tokens in a step of a prefill
	// engine.
	Chunk float64
	// Prefill is the share of prefill engines; the others decode.
	Prefill float64
}

// Class is a kind of request.
type Class struct {
	Name string
	// AimMs is the latency target, DeadlineMs the deadline, both from arrival. A
	// request that waits longer than AimMs earns LateWorth instead of Worth, and
	// nothing if it waits longer than DeadlineMs.
	AimMs      float64 `toml:"aim_ms"`
	DeadlineMs float64 `toml:"deadline_ms"`
	Worth      float64
	LateWorth  float64 `toml:"late_worth"`
	Service    string
	// WorkMs is the time for which a plain request takes a slot.
	WorkMs struct{ Mean float64 } `toml:"work_ms"`
	// ErrorShare is the share of attempts that backend servers fail.
	ErrorShare float64 `toml:"error_share"`
	Attempts   int
	// Stream is set for a request to a model, nil for a plain request.
	Stream *Stream
}

// Stream has the sizes of a request to a model.
type Stream struct {
	// Pieces is the number of events of the response.
	Pieces       struct{ Mean float64 }
	PromptTokens struct{ Mean float64 } `toml:"prompt_tokens"`
	// Chain has the parts of the prompt prefix: the length of each and the
	// number of different ones.
	Chain []struct {
		Tokens struct{ Mean float64 }
		Things int
	}
}

// Traffic is the requests that the clients of one zone send.
type Traffic struct {
	Zone string
	// PerS is the mean number of requests per second.
	PerS float64 `toml:"per_s"`
	// Mix has the weight of each class by name.
	Mix map[string]float64
	// Shape is a sine wave of the rate: its amplitude as a share of PerS, its
	// period, and its phase as a share of the period.
	Shape struct {
		Swing   float64
		PeriodS float64 `toml:"period_s"`
		Phase   float64
	}
}

// Day is a day of traffic with its bursts. Other faults are ignored: without them
// a day can only get better, so that the bound holds.
type Day struct {
	Name string
	// One is the day's mark in the file, for comparison with Result.Worth. The
	// bound does not use it.
	One float64
	// LengthS and Traffic replace those of the site if set.
	LengthS float64 `toml:"length_s"`
	Traffic []Traffic
	Faults  []Burst
}

// Burst is a fault. Only those with Kind "burst" count: they multiply the rate of
// a class and zone, or of all if empty, by X from At for ForS seconds.
type Burst struct {
	Kind, Class, Zone string
	At                float64
	ForS              float64 `toml:"for_s"`
	X                 float64
}

// Read reads a site file.
func Read(path string) (Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Site{}, fmt.Errorf("site: %w", err)
	}
	return Parse(string(data))
}

// Parse parses the text of a site file.
func Parse(text string) (Site, error) {
	var s Site
	if _, err := toml.Decode(text, &s); err != nil {
		return Site{}, fmt.Errorf("site: %w", err)
	}
	for _, c := range s.Classes {
		if _, ok := s.service(c.Service); !ok {
			return Site{}, fmt.Errorf("site: class %s: there is no service %q", c.Name, c.Service)
		}
	}
	if len(s.Days) == 0 {
		return Site{}, fmt.Errorf("site: there is no day")
	}
	return s, nil
}

// service returns the service with the name and whether it exists.
func (s Site) service(name string) (Service, bool) {
	for _, service := range s.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// arrivalRate returns the number of requests of the class that arrive per second
// at time at, in seconds from the start of the day.
func (d Day) arrivalRate(class string, at float64) float64 {
	sum := 0.0
	for _, t := range d.Traffic {
		all := 0.0
		for _, weight := range t.Mix {
			all += weight
		}
		rate := t.PerS * t.Mix[class] / all
		if t.Shape.PeriodS > 0 {
			rate *= 1 + t.Shape.Swing*math.Sin(2*math.Pi*(at/t.Shape.PeriodS+t.Shape.Phase))
		}
		for _, b := range d.Faults {
			applies := b.Kind == "burst" && (b.Class == "" || b.Class == class) && (b.Zone == "" || b.Zone == t.Zone)
			if applies && at >= b.At && at < b.At+b.ForS {
				rate *= b.X
			}
		}
		sum += rate
	}
	return sum
}
