// Package pairs makes days in which every kind of trouble meets every other.
//
// Faults that a system survives alone may break it together. A day of 46 s has
// seven moments; at each, three kinds begin within 1.5 s of one another. The
// days go on until each kind has met each other and itself.
//
// # Usage
//
//	kinds, err := pairs.Kinds(false)
//	for _, d := range pairs.Days(kinds, seed) {
//		os.WriteFile(d.Name+".toml", d.Text(), 0o644)
//	}
//
// Days is pure: the same seed gives the same days.
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
var table string

// Kind is a kind of trouble.
type Kind struct {
	Name string
	// Planned is set for work that the operator plans.
	Planned bool
	// ranges are the least and the most of a value, words what one is drawn of.
	ranges map[string][2]float64
	words  map[string][]string
}

// Kinds returns all kinds by name; joined ones only if wanted.
func Kinds(joined bool) ([]Kind, error) {
	var read map[string]map[string]any
	if _, err := toml.Decode(table, &read); err != nil {
		return nil, fmt.Errorf("kinds of trouble: %w", err)
	}
	var list []Kind
	for _, name := range slices.Sorted(maps.Keys(read)) {
		k := Kind{Name: name, ranges: map[string][2]float64{}, words: map[string][]string{}}
		skip := false
		for key, value := range read[name] {
			switch v := value.(type) {
			case bool:
				k.Planned = k.Planned || key == "plan"
				skip = skip || key == "joined" && !joined
			case []any:
				if err := k.add(key, v); err != nil {
					return nil, err
				}
			default:
				return nil, fmt.Errorf("kinds of trouble: %s: %s: neither a range nor words", name, key)
			}
		}
		if !skip {
			list = append(list, k)
		}
	}
	return list, nil
}

func (k *Kind) add(key string, values []any) error {
	var numbers []float64
	for _, v := range values {
		switch v := v.(type) {
		case float64:
			numbers = append(numbers, v)
		case string:
			k.words[key] = append(k.words[key], v)
		}
	}
	if len(numbers) == 2 && numbers[0] <= numbers[1] && len(k.words[key]) == 0 {
		k.ranges[key] = [2]float64(numbers)
		return nil
	}
	if len(numbers) == 0 && len(k.words[key]) == len(values) && len(values) > 0 {
		return nil
	}
	return fmt.Errorf("kinds of trouble: %s: %s: neither a range nor words", k.Name, key)
}

// Entry is one trouble of a day.
type Entry struct {
	Kind Kind
	// At is when it begins, in seconds from the start of traffic.
	At float64
	// Values are the fields as the day file has them.
	Values []string
}

// Day is a day file.
type Day struct {
	Name    string
	Entries []Entry
}

const (
	// length is that of a day, firstAt its first moment, between the time from
	// one to the next, together that within which the kinds of one begin, all
	// in seconds.
	length   = 46.0
	firstAt  = 2.0
	between  = 5.2
	together = 1.5
	moments  = 7
	// mostOften is how often a kind that has to meet another may be in a day.
	mostOften = 2
	// repeatCost weighs each time that a kind is in the day already against the
	// pairs that it would add.
	repeatCost = 0.6
)

// pair are two kinds by their places in the list, the first not behind the second.
type pair [2]int

func pairOf(a, b int) pair { return pair{min(a, b), max(a, b)} }

// Days covers all pairs.
func Days(kinds []Kind, seed uint64) []Day {
	p := planner{kinds: kinds, random: rand.New(rand.NewPCG(seed, seed))}
	for a := range kinds {
		for b := a; b < len(kinds); b++ {
			p.left = append(p.left, pair{a, b})
		}
	}
	var days []Day
	for len(p.left) > 0 {
		days = append(days, p.day(fmt.Sprintf("pairs-%d-%03d", seed, len(days)+1)))
	}
	return days
}

// planner keeps which pairs have not met yet.
type planner struct {
	kinds  []Kind
	random *rand.Rand
	left   []pair
}

func (p *planner) day(name string) Day {
	d := Day{Name: name}
	used := map[int]int{}
	p.random.Shuffle(len(p.left), func(i, k int) { p.left[i], p.left[k] = p.left[k], p.left[i] })
	for moment := range moments {
		i := slices.IndexFunc(p.left, func(x pair) bool { return used[x[0]] < mostOften && used[x[1]] < mostOften })
		if i < 0 {
			break
		}
		first, second := p.left[i][0], p.left[i][1]
		third := p.third(first, second, used)
		p.met(first, second, third)
		for _, k := range []int{first, second, third} {
			used[k]++
			at := firstAt + between*float64(moment) + together*p.random.Float64()
			d.Entries = append(d.Entries, Entry{p.kinds[k], at, p.draw(p.kinds[k])})
		}
	}
	return d
}

// third is the kind that lets most of the pairs meet that are left.
func (p *planner) third(first, second int, used map[int]int) int {
	best, most := 0, math.Inf(-1)
	for k := range p.kinds {
		gain := -repeatCost*float64(used[k]) + p.random.Float64()/100
		for _, x := range []pair{pairOf(first, k), pairOf(second, k)} {
			if slices.Contains(p.left, x) {
				gain++
			}
		}
		if gain > most {
			best, most = k, gain
		}
	}
	return best
}

func (p *planner) met(first, second, third int) {
	met := []pair{pairOf(first, second), pairOf(first, third), pairOf(second, third)}
	p.left = slices.DeleteFunc(p.left, func(x pair) bool { return slices.Contains(met, x) })
}

func (p *planner) draw(k Kind) []string {
	var values []string
	for _, key := range slices.Sorted(maps.Keys(k.ranges)) {
		r := k.ranges[key]
		values = append(values, fmt.Sprintf("%s = %.2f", key, r[0]+(r[1]-r[0])*p.random.Float64()))
	}
	for _, key := range slices.Sorted(maps.Keys(k.words)) {
		if word := k.words[key][p.random.IntN(len(k.words[key]))]; word != "" {
			values = append(values, fmt.Sprintf("%s = %q", key, word))
		}
	}
	return values
}

// Text is the day as a file.
func (d Day) Text() []byte {
	var plan, faults strings.Builder
	for _, e := range d.Entries {
		to := &faults
		if e.Kind.Planned {
			to = &plan
		}
		fields := append([]string{fmt.Sprintf("at = %.2f", e.At), fmt.Sprintf("kind = %q", e.Kind.Name)}, e.Values...)
		fmt.Fprintf(to, "  { %s },\n", strings.Join(fields, ", "))
	}
	return fmt.Appendf(nil, "name = %q\nlength_s = %.1f\nplan = [\n%s]\nfaults = [\n%s]\n", d.Name, length, plan.String(), faults.String())
}
