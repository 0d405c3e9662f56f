package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rattanspur.example/lib/poison"
)

const (
	// promptStream is the stream of random numbers of the prompts. It differs from
	// those of the traffic and of the gateways, so that a scenario is played with
	// the same arrivals whether or not its requests share parts.
	promptStream = 1 << 32
	// harmfulPart is the part of a prompt that crashes engines.
	harmfulPart = "harmful"
)

// prompt is the content of a request: who sends it, the parts that it shares with
// other requests, from the first one, and the part that is its own.
type prompt struct {
	key    string
	shared []string
	own    string
	// harmful is set if harmfulPart is among the shared parts.
	harmful bool
}

// body returns the prompt as a request carries it.
func (p *prompt) body() []byte {
	return []byte(strings.Join(append(slices.Clone(p.shared), p.own), "\n"))
}

// firstPart returns the first part of the prompt, or "" if it is not shared.
func (p *prompt) firstPart() string {
	if len(p.shared) == 0 {
		return ""
	}
	return p.shared[0]
}

// traits returns the traits of a request with this prompt, from the broadest to the
// most specific one.
func (p *prompt) traits(path string) []poison.Trait {
	out := make([]poison.Trait, 0, len(p.shared)+1)
	for _, part := range p.shared {
		out = append(out, poison.PartTrait(modelName, part))
	}
	return append(out, poison.RequestTrait(p.key, path, p.body()))
}

// prompter draws the prompts of a scenario.
type prompter struct {
	scenario *Scenario
	random   *rand.Rand
	// popularity holds the cumulative weights of the first parts.
	popularity []float64
	// customers holds the cumulative weights of the customers if they differ.
	customers []float64
	drawn     int
}

// customerKey returns the key of the customer with a number.
func customerKey(number int) string { return fmt.Sprintf("key %d", number) }

func newPrompter(sc *Scenario, seed uint64) *prompter {
	p := &prompter{scenario: sc, random: rand.New(rand.NewPCG(seed, promptStream))}
	sum := 0.0
	for i := range sc.Prompts.FirstParts {
		sum += 1 / float64(i+1)
		p.popularity = append(p.popularity, sum)
	}
	sum = 0
	for i := range sc.Prompts.Customers {
		if sc.Prompts.CustomerSkew > 0 {
			sum += math.Pow(float64(i+1), -sc.Prompts.CustomerSkew)
			p.customers = append(p.customers, sum)
		}
	}
	return p
}

// next draws the prompt of a request of a class that is sent at a time. Harmful
// requests have the same customers and first parts as the others of their class.
func (p *prompter) next(class string, at time.Duration) prompt {
	p.drawn++
	sc := p.scenario
	out := prompt{own: fmt.Sprintf("own %d", p.drawn)}
	if n := sc.Prompts.Customers; n > 0 {
		out.key = customerKey(p.drawCustomer(n))
	}
	if len(p.popularity) > 0 {
		out.shared = append(out.shared, fmt.Sprintf("%s first %d", class, p.drawFirst()))
	}
	if n := sc.Prompts.FurtherParts; n > 0 && p.random.Float64() < sc.Prompts.FurtherShare {
		out.shared = append(out.shared, fmt.Sprintf("%s further %d", class, p.random.IntN(n)))
	}
	if sc.Harmful.during(class, at) && p.random.Float64() < sc.Harmful.Share {
		out.shared = append(out.shared[:min(len(out.shared), 1)], harmfulPart)
		out.harmful = true
	}
	return out
}

// drawFirst draws the number of a first part by popularity: the part at place n is
// 1/n times as frequent as the first one.
func (p *prompter) drawFirst() int { return p.draw(p.popularity) }

// drawCustomer draws the number of one of n customers.
func (p *prompter) drawCustomer(n int) int {
	if len(p.customers) == 0 {
		return p.random.IntN(n)
	}
	return p.draw(p.customers)
}

// draw draws a number by cumulative weights.
func (p *prompter) draw(cumulative []float64) int {
	n := p.random.Float64() * cumulative[len(cumulative)-1]
	i, _ := slices.BinarySearch(cumulative, n)
	return min(i, len(cumulative)-1)
}
