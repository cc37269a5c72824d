package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ibisline/internal/fake/engine"
)

// Turn is one planned model call and what follows it.
type Turn struct {
	// Content is the new message.
	Content string
	Tokens  int
	Output  int
	// Pause is the time until the next turn.
	Pause time.Duration
	// Call asks for a tool call after the turn.
	Call bool
}

// Program is a planned program.
type Program struct {
	Work   int
	Start  time.Duration
	Region int
	Turns  []Turn
	// Subs are sub-agents, started together after the first turn.
	Subs []Program
}

// Schedule is a plan of programs, sorted by their start.
type Schedule []Program

// meanSamples is the number of drawn programs over which a mean cost is taken.
const meanSamples = 400

// NewSchedule plans a run. The same profile and seed give the same plan.
func NewSchedule(p Profile, seed uint64) Schedule {
	var all Schedule
	for i, work := range p.Work {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		perSecond := work.Load * float64(p.TotalEngines()) / p.meanCost(work).Seconds()
		for _, start := range starts(rng, work, perSecond, p.Start.Std()) {
			program := draw(rng, work)
			program.Work = i
			program.Start = start
			program.Region = rng.IntN(len(p.Fleet.Regions))
			all = append(all, program)
		}
	}
	slices.SortFunc(all, func(a, b Program) int { return int(a.Start - b.Start) })
	return all
}

// starts draws the starts of a Poisson process whose rate rises in crests.
func starts(rng *rand.Rand, work Work, perSecond float64, until time.Duration) []time.Duration {
	highest := 1.0
	for _, crest := range work.Crest {
		highest = max(highest, crest.Factor)
	}
	var found []time.Duration
	at := 0.0
	for {
		at += rng.ExpFloat64() / (perSecond * highest)
		start := time.Duration(at * float64(time.Second))
		if start >= until {
			return found
		}
		if rng.Float64() < work.factorAt(start)/highest {
			found = append(found, start)
		}
	}
}

// factorAt is the multiple of the usual rate at a time.
func (w Work) factorAt(at time.Duration) float64 {
	for _, crest := range w.Crest {
		if at >= crest.From.Std() && at < crest.To.Std() {
			return crest.Factor
		}
	}
	return 1
}

// AtCrest reports whether a start lies in a crest.
func (w Work) AtCrest(at time.Duration) bool { return w.factorAt(at) > 1 }

// draw plans the shape of one program.
func draw(rng *rand.Rand, work Work) Program {
	program := Program{Turns: drawTurns(rng, work, work.Turns)}
	for range int(math.Round(work.SubAgents.draw(rng))) {
		program.Subs = append(program.Subs, Program{Turns: drawTurns(rng, work, work.SubTurns)})
	}
	return program
}

// drawTurns plans a chain of turns.
func drawTurns(rng *rand.Rand, work Work, count Range) []Turn {
	total := max(int(math.Round(count.draw(rng))), 1)
	turns := make([]Turn, total)
	for i := range turns {
		size := work.Step
		if i == 0 {
			size = work.Prompt
		}
		output := max(int(work.Output.draw(rng)), 1)
		turns[i] = Turn{
			Content: content(rng, int(size.draw(rng)), output),
			Output:  output,
			Pause:   time.Duration(work.PauseMS.draw(rng) * float64(time.Millisecond)),
			Call:    rng.Float64() < work.Calls,
		}
		turns[i].Tokens = engine.CountTokens(turns[i].Content)
	}
	return turns
}

// content returns a message of about so many tokens, unlike all others, that
// asks for an answer of output tokens.
func content(rng *rand.Rand, tokens, output int) string {
	head := fmt.Sprintf("%016x [out=%d]", rng.Uint64(), output)
	return head + strings.Repeat(" spec", max(tokens*engine.BytesPerToken-len(head), 0)/len(" spec"))
}

// draw returns a number between the bounds, log-uniformly; a range that begins
// at 0 is drawn uniformly.
func (r Range) draw(rng *rand.Rand) float64 {
	if r[1] <= r[0] {
		return r[0]
	}
	if r[0] <= 0 {
		return r[0] + rng.Float64()*(r[1]-r[0])
	}
	return r[0] * math.Pow(r[1]/r[0], rng.Float64())
}

// meanCost is the mean engine time of a work's programs.
func (p Profile) meanCost(work Work) time.Duration {
	rng := rand.New(rand.NewPCG(0, 0))
	var total time.Duration
	for range meanSamples {
		total += p.cost(draw(rng, work))
	}
	return total / meanSamples
}

// cost is the engine time that a program takes when each prompt token is
// computed once.
func (p Profile) cost(program Program) time.Duration {
	return p.engineTime(program.tokens())
}

// engineTime is the time that one engine at its capacity takes for tokens.
func (p Profile) engineTime(prompt, output int) time.Duration {
	batch := time.Duration(p.Engine.CapacityBatch)
	perToken := p.gap(p.Engine.CapacityBatch) / batch
	return p.prefillTime(prompt) + time.Duration(output)*perToken
}

// tokens are the new prompt and output tokens of a program and its sub-agents.
func (p Program) tokens() (prompt, output int) {
	for _, turn := range p.Turns {
		prompt += turn.Tokens
		output += turn.Output
	}
	for _, sub := range p.Subs {
		subPrompt, subOutput := sub.tokens()
		prompt += subPrompt
		output += subOutput
	}
	return prompt, output
}

// Offered is the load that a schedule offers between two times, as a multiple of
// the engines' capacity.
func (p Profile) Offered(s Schedule, from, to time.Duration) float64 {
	var total time.Duration
	for _, program := range s {
		if program.Start >= from && program.Start < to {
			total += p.cost(program)
		}
	}
	return total.Seconds() / (to - from).Seconds() / float64(p.TotalEngines())
}
