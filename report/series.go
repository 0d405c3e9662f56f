package report

import (
	"cmp"
	"slices"
)

// Series is a named row of values, one for each round of a chart.
type Series struct {
	Name   string
	Values []float64
}

// Chart is a set of series over the rounds of a site.
type Chart struct {
	Title  string
	Unit   string
	Series []Series
}

// Round is one score of a site, which the charts number from 0.
type Round struct {
	Entry Entry
	// Broken is the number of its days with a rule broken.
	Broken int
}

// Rounds returns the scores of a site that are no trials.
func Rounds(entries []Entry, site string) []Round {
	var out []Round
	for _, e := range entries {
		if e.Command != "score" || e.Site != site || e.Trial() || len(e.Days) == 0 {
			continue
		}
		r := Round{Entry: e}
		for i := range e.Days {
			if e.Days[i].Broken {
				r.Broken++
			}
		}
		out = append(out, r)
	}
	return out
}

// Sites returns the names of the sites that were scored.
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

// shownPrices is the number of prices that a chart shows, the largest first.
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

func amounts(rounds []Round, name string) Series {
	s := Series{Name: name}
	for i := range rounds {
		s.Values = append(s.Values, mean(rounds[i].Entry.Days, func(d *Day) (float64, bool) { return d.Amounts[name], true }))
	}
	return s
}

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

// mean returns the mean of what is counted of some days, or 0.
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
