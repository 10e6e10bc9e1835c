// Package pairs generates test days by pairwise testing: every kind of fault or
// planned operation occurs together with every other kind and with itself.
//
// Faults that a system survives one by one may break it together. A day of 46 s
// has seven groups of three events that begin within 1.5 s. Days are generated
// until all pairs of kinds are covered.
//
// # Usage
//
//	kinds, err := pairs.Kinds(false)
//	for _, d := range pairs.Days(kinds, seed) {
//		os.WriteFile(d.Name+".toml", d.Text(), 0o644)
//	}
//
// The same seed gives the same days.
package pairs

import (
	_ "embed"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

//go:embed kinds.toml
var kindsTOML string

// Kind is a kind of event: a fault or a planned operation.
type Kind struct {
	Name string
	// Planned is set for an operation that operators plan.
	Planned bool
	// ranges has the bounds of the fields with numbers, choices the possible
	// values of the fields with words.
	ranges  map[string][2]float64
	choices map[string][]string
}

// Kinds returns the kinds of kinds.toml, sorted by name. The kinds marked as
// joined, which only some deployments support, are left out unless joined is set.
func Kinds(joined bool) ([]Kind, error) {
	var parsed map[string]map[string]any
	if _, err := toml.Decode(kindsTOML, &parsed); err != nil {
		return nil, fmt.Errorf("event kinds: %w", err)
	}
	var list []Kind
	for _, name := range slices.Sorted(maps.Keys(parsed)) {
		k := Kind{Name: name, ranges: map[string][2]float64{}, choices: map[string][]string{}}
		skip := false
		for key, value := range parsed[name] {
			switch v := value.(type) {
			case bool:
				k.Planned = k.Planned || key == "plan"
				skip = skip || key == "joined" && !joined
			case []any:
				if err := k.add(key, v); err != nil {
					return nil, err
				}
			default:
				return nil, fmt.Errorf("event kinds: %s: %s must be two ascending numbers or a list of words", name, key)
			}
		}
		if !skip {
			list = append(list, k)
		}
	}
	return list, nil
}

// add adds a field: two ascending floating-point numbers are a range, words are
// choices.
func (k *Kind) add(key string, values []any) error {
	var numbers []float64
	for _, v := range values {
		switch v := v.(type) {
		case float64:
			numbers = append(numbers, v)
		case string:
			k.choices[key] = append(k.choices[key], v)
		}
	}
	if len(numbers) == 2 && numbers[0] <= numbers[1] && len(k.choices[key]) == 0 {
		k.ranges[key] = [2]float64(numbers)
		return nil
	}
	if len(numbers) == 0 && len(k.choices[key]) == len(values) && len(values) > 0 {
		return nil
	}
	return fmt.Errorf("event kinds: %s: %s must be two ascending numbers or a list of words", k.Name, key)
}

// Event is a fault or planned operation of a day.
type Event struct {
	Kind Kind
	// At is when it begins, in seconds from the start of traffic.
	At float64
	// Values are the kind's fields in the form of the day file, such as
	// "x = 1.50".
	Values []string
}

// Day is the contents of a day file.
type Day struct {
	Name   string
	Events []Event
}

const (
	// Times in seconds: the length of a day, the start of its first group, the
	// time between the starts of two groups, and the time within which the
	// events of a group begin.
	dayLength     = 46.0
	firstGroupAt  = 2.0
	groupInterval = 5.2
	groupSpread   = 1.5
	groupsPerDay  = 7
	// maxPerDay is the number of events of a kind in a day from which no further
	// group is built around an uncovered pair of the kind.
	maxPerDay = 2
	// repeatPenalty is what each earlier event of a kind in the day takes off
	// the number of pairs that the kind would cover as the third of a group.
	repeatPenalty = 0.6
)

// pair has the indexes of two kinds, in ascending order.
type pair [2]int

func pairOf(a, b int) pair { return pair{min(a, b), max(a, b)} }

// Days returns days that cover all pairs of kinds, each with itself included.
func Days(kinds []Kind, seed uint64) []Day {
	p := planner{kinds: kinds, random: rand.New(rand.NewPCG(seed, seed))}
	for a := range kinds {
		for b := a; b < len(kinds); b++ {
			p.uncovered = append(p.uncovered, pair{a, b})
		}
	}
	var days []Day
	for len(p.uncovered) > 0 {
		days = append(days, p.nextDay(fmt.Sprintf("pairs-%d-%03d", seed, len(days)+1)))
	}
	return days
}

// planner generates days greedily and keeps the pairs that no day covers yet.
type planner struct {
	kinds     []Kind
	random    *rand.Rand
	uncovered []pair
}

// nextDay generates a day. The first two kinds of a group are an uncovered pair
// of kinds that the day does not have too often yet. The day has fewer groups
// if there is no such pair.
func (p *planner) nextDay(name string) Day {
	d := Day{Name: name}
	used := map[int]int{}
	p.random.Shuffle(len(p.uncovered), func(i, k int) { p.uncovered[i], p.uncovered[k] = p.uncovered[k], p.uncovered[i] })
	for group := range groupsPerDay {
		i := slices.IndexFunc(p.uncovered, func(x pair) bool { return used[x[0]] < maxPerDay && used[x[1]] < maxPerDay })
		if i < 0 {
			break
		}
		first, second := p.uncovered[i][0], p.uncovered[i][1]
		third := p.chooseThird(first, second, used)
		p.cover(first, second, third)
		for _, k := range []int{first, second, third} {
			used[k]++
			at := firstGroupAt + groupInterval*float64(group) + groupSpread*p.random.Float64()
			d.Events = append(d.Events, Event{p.kinds[k], at, p.drawValues(p.kinds[k])})
		}
	}
	return d
}

// chooseThird returns the third kind of a group: the one that covers the most
// uncovered pairs, less a penalty for each time that the day has it already.
// Ties are broken at random.
func (p *planner) chooseThird(first, second int, used map[int]int) int {
	best, most := 0, math.Inf(-1)
	for k := range p.kinds {
		gain := -repeatPenalty*float64(used[k]) + p.random.Float64()/100
		for _, x := range []pair{pairOf(first, k), pairOf(second, k)} {
			if slices.Contains(p.uncovered, x) {
				gain++
			}
		}
		if gain > most {
			best, most = k, gain
		}
	}
	return best
}

// cover removes the pairs of a group from the uncovered ones.
func (p *planner) cover(first, second, third int) {
	covered := []pair{pairOf(first, second), pairOf(first, third), pairOf(second, third)}
	p.uncovered = slices.DeleteFunc(p.uncovered, func(x pair) bool { return slices.Contains(covered, x) })
}

// drawValues draws the values of a kind's fields. An empty word leaves out the
// field.
func (p *planner) drawValues(k Kind) []string {
	var values []string
	for _, key := range slices.Sorted(maps.Keys(k.ranges)) {
		r := k.ranges[key]
		values = append(values, fmt.Sprintf("%s = %.2f", key, r[0]+(r[1]-r[0])*p.random.Float64()))
	}
	for _, key := range slices.Sorted(maps.Keys(k.choices)) {
		if word := k.choices[key][p.random.IntN(len(k.choices[key]))]; word != "" {
			values = append(values, fmt.Sprintf("%s = %q", key, word))
		}
	}
	return values
}

// Text returns the day file, in TOML.
func (d Day) Text() []byte {
	var plan, faults strings.Builder
	for _, e := range d.Events {
		list := &faults
		if e.Kind.Planned {
			list = &plan
		}
		fields := append([]string{fmt.Sprintf("at = %.2f", e.At), fmt.Sprintf("kind = %q", e.Kind.Name)}, e.Values...)
		fmt.Fprintf(list, "  { %s },\n", strings.Join(fields, ", "))
	}
	return fmt.Appendf(nil, "name = %q\nlength_s = %.1f\nplan = [\n%s]\nfaults = [\n%s]\n", d.Name, dayLength, plan.String(), faults.String())
}
