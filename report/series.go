package report

import (
	"cmp"
	"slices"
)

// Series is a named sequence of values, one for each round.
type Series struct {
	Name   string
	Values []float64
}

// Chart shows several series over the rounds of a site.
type Chart struct {
	Title  string
	Unit   string
	Series []Series
}

// Round is one scored run of a site. The charts number the rounds from 0.
type Round struct {
	Entry Entry
	// Broken is the number of days on which a rule was broken.
	Broken int
}

// Rounds returns the scored runs of a site that are not trials, in the order of
// the entries.
func Rounds(entries []Entry, site string) []Round {
	var out []Round
	for _, e := range entries {
		if e.Command != "score" || e.Site != site || e.IsTrial() || len(e.Days) == 0 {
			continue
		}
		r := Round{Entry: e}
		for i := range e.Days {
			if e.Days[i].RuleBroken {
				r.Broken++
			}
		}
		out = append(out, r)
	}
	return out
}

// Sites returns the sorted names of the sites with scored runs.
func Sites(entries []Entry) []string {
	var out []string
	for i := range entries {
		if entries[i].Command == "score" && !slices.Contains(out, entries[i].Site) {
			out = append(out, entries[i].Site)
		}
	}
	slices.Sort(out)
	return out
}

// shownPrices is the maximum number of prices in a chart.
const shownPrices = 6

// Charts returns the charts of a site's rounds.
func Charts(rounds []Round) []Chart {
	score := Series{Name: "score"}
	slots := map[string]*Series{}
	for _, slot := range []string{"quiet", "trouble", "scale"} {
		slots[slot] = &Series{Name: slot}
	}
	for i := range rounds {
		score.Values = append(score.Values, rounds[i].Entry.Score)
		for slot, s := range slots {
			s.Values = append(s.Values, mean(rounds[i].Entry.Days, func(d *Day) (float64, bool) { return d.Worth, d.Slot == slot }))
		}
	}
	return []Chart{
		{Title: "Score", Unit: "1", Series: []Series{score}},
		{Title: "Mean worth by kind of day", Unit: "1", Series: []Series{*slots["quiet"], *slots["trouble"], *slots["scale"]}},
		{Title: "Largest prices, mean of the days", Unit: "worth", Series: prices(rounds)},
		{Title: "Load, mean of the days", Unit: "s or GB x s", Series: []Series{
			amounts(rounds, "processor seconds"), amounts(rounds, "memory, GB x seconds"),
		}},
	}
}

// amounts returns the mean of an amount over the days of each round.
func amounts(rounds []Round, name string) Series {
	s := Series{Name: name}
	for i := range rounds {
		s.Values = append(s.Values, mean(rounds[i].Entry.Days, func(d *Day) (float64, bool) { return d.Amounts[name], true }))
	}
	return s
}

// prices returns the mean over the days of each round for the prices with the
// largest maximum, the largest first.
func prices(rounds []Round) []Series {
	most := map[string]float64{}
	for i := range rounds {
		for k := range rounds[i].Entry.Days {
			for name, v := range rounds[i].Entry.Days[k].Prices {
				most[name] = max(most[name], v)
			}
		}
	}
	names := make([]string, 0, len(most))
	for name := range most {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(most[b], most[a]), cmp.Compare(a, b))
	})
	var out []Series
	for _, name := range names[:min(len(names), shownPrices)] {
		s := Series{Name: name}
		for i := range rounds {
			s.Values = append(s.Values, mean(rounds[i].Entry.Days, func(d *Day) (float64, bool) { return d.Prices[name], true }))
		}
		out = append(out, s)
	}
	return out
}

// mean returns the mean value of the counted days, or 0 if none is counted.
func mean(days []Day, value func(d *Day) (v float64, counted bool)) float64 {
	sum, n := 0.0, 0
	for i := range days {
		if v, counted := value(&days[i]); counted {
			sum += v
			n++
		}
	}
	return sum / float64(max(n, 1))
}
