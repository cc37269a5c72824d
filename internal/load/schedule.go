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

// Turn is one planned model call and the tool call and pause that follow it.
type Turn struct {
	// Content is the new message.
	Content      string
	PromptTokens int
	OutputTokens int
	// Pause is the time until the next turn.
	Pause time.Duration
	// ToolCall reports whether a tool call follows the turn.
	ToolCall bool
}

// Program is a planned program. WorkIndex and RegionIndex refer to the profile's
// Work and Fleet.Regions; Start counts from the start of the run.
type Program struct {
	WorkIndex   int
	Start       time.Duration
	RegionIndex int
	Turns       []Turn
	// SubAgents start concurrently after the first turn.
	SubAgents []Program
}

// Schedule is a list of planned programs, sorted by start.
type Schedule []Program

// meanCostSamples is the number of random programs that meanCost averages.
const meanCostSamples = 400

// NewSchedule plans a run. The same profile and seed yield the same schedule.
func NewSchedule(p Profile, seed uint64) Schedule {
	var all Schedule
	for i, work := range p.Work {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		ratePerSecond := work.Load * float64(p.TotalEngines()) / p.meanCost(work).Seconds()
		for _, start := range drawStarts(rng, work, ratePerSecond, p.Start.Std()) {
			program := drawProgram(rng, work)
			program.WorkIndex = i
			program.Start = start
			program.RegionIndex = rng.IntN(len(p.Fleet.Regions))
			all = append(all, program)
		}
	}
	slices.SortFunc(all, func(a, b Program) int { return int(a.Start - b.Start) })
	return all
}

// drawStarts draws the start times of a Poisson process with the rate changes of
// work, by thinning a process of the highest rate.
func drawStarts(rng *rand.Rand, work Work, ratePerSecond float64, until time.Duration) []time.Duration {
	maxFactor := 1.0
	for _, change := range work.Crest {
		maxFactor = max(maxFactor, change.Factor)
	}
	var drawn []time.Duration
	at := 0.0
	for {
		at += rng.ExpFloat64() / (ratePerSecond * maxFactor)
		start := time.Duration(at * float64(time.Second))
		if start >= until {
			return drawn
		}
		if rng.Float64() < work.rateFactor(start)/maxFactor {
			drawn = append(drawn, start)
		}
	}
}

// rateFactor returns the factor of the arrival rate at a time.
func (w Work) rateFactor(at time.Duration) float64 {
	for _, change := range w.Crest {
		if at >= change.From.Std() && at < change.To.Std() {
			return change.Factor
		}
	}
	return 1
}

// AtPeak reports whether the arrival rate is raised at a time.
func (w Work) AtPeak(at time.Duration) bool { return w.rateFactor(at) > 1 }

// drawProgram draws the turns and sub-agents of one program.
func drawProgram(rng *rand.Rand, work Work) Program {
	program := Program{Turns: drawTurns(rng, work, work.Turns)}
	for range int(math.Round(work.SubAgents.draw(rng))) {
		program.SubAgents = append(program.SubAgents, Program{Turns: drawTurns(rng, work, work.SubTurns)})
	}
	return program
}

// drawTurns draws a sequence of turns.
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
			Content:      drawContent(rng, int(size.draw(rng)), output),
			OutputTokens: output,
			Pause:        time.Duration(work.PauseMS.draw(rng) * float64(time.Millisecond)),
			ToolCall:     rng.Float64() < work.Calls,
		}
		turns[i].PromptTokens = engine.CountTokens(turns[i].Content)
	}
	return turns
}

// drawContent returns a unique message of about the given number of tokens that
// requests an answer of output tokens from a stand-in engine.
func drawContent(rng *rand.Rand, tokens, output int) string {
	prefix := fmt.Sprintf("%016x [out=%d]", rng.Uint64(), output)
	return prefix + strings.Repeat(" spec", max(tokens*engine.BytesPerToken-len(prefix), 0)/len(" spec"))
}

// draw returns a random number between the bounds: log-uniform, or uniform if
// the lower bound is 0.
func (r Range) draw(rng *rand.Rand) float64 {
	if r[1] <= r[0] {
		return r[0]
	}
	if r[0] <= 0 {
		return r[0] + rng.Float64()*(r[1]-r[0])
	}
	return r[0] * math.Pow(r[1]/r[0], rng.Float64())
}

// meanCost returns the mean engine time of the programs of work.
func (p Profile) meanCost(work Work) time.Duration {
	rng := rand.New(rand.NewPCG(0, 0))
	var total time.Duration
	for range meanCostSamples {
		total += p.programCost(drawProgram(rng, work))
	}
	return total / meanCostSamples
}

// programCost returns the engine time of a program when each prompt token is
// computed once.
func (p Profile) programCost(program Program) time.Duration {
	return p.engineTime(program.tokens())
}

// engineTime returns the time that an engine at its capacity takes for the given
// prompt and output tokens.
func (p Profile) engineTime(prompt, output int) time.Duration {
	batch := time.Duration(p.Engine.CapacityBatch)
	perToken := p.interTokenLatency(p.Engine.CapacityBatch) / batch
	return p.prefillTime(prompt) + time.Duration(output)*perToken
}

// tokens returns the new prompt tokens and the output tokens of a program and its
// sub-agents.
func (p Program) tokens() (prompt, output int) {
	for _, turn := range p.Turns {
		prompt += turn.PromptTokens
		output += turn.OutputTokens
	}
	for _, sub := range p.SubAgents {
		subPrompt, subOutput := sub.tokens()
		prompt += subPrompt
		output += subOutput
	}
	return prompt, output
}

// Offered returns the load that a schedule offers between from and to, as a
// multiple of the engines' capacity.
func (p Profile) Offered(s Schedule, from, to time.Duration) float64 {
	var total time.Duration
	for _, program := range s {
		if program.Start >= from && program.Start < to {
			total += p.programCost(program)
		}
	}
	return total.Seconds() / (to - from).Seconds() / float64(p.TotalEngines())
}
