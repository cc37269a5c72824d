package load

import "time"

// Floor is the latency that planned programs would have if none waited and no
// prompt token was computed twice. No policy can be faster.
type Floor struct {
	All   Quantiles `json:"all"`
	Short Quantiles `json:"short"`
}

// NewFloor computes the floor of a schedule on engines that decode so many
// sequences at the same time.
func NewFloor(p Profile, schedule Schedule, batch int) Floor {
	all, short := newHistogram(), newHistogram()
	for _, program := range schedule {
		latency := p.aloneLatency(program, batch)
		all.add(latency)
		if p.Work[program.Work].Short {
			short.add(latency)
		}
	}
	return Floor{All: all.quantiles(), Short: short.quantiles()}
}

// aloneLatency is the time from the first turn of a program to its end, with
// its pauses and its slowest sub-agent.
func (p Profile) aloneLatency(program Program, batch int) time.Duration {
	var total time.Duration
	for _, turn := range program.Turns {
		total += p.aloneTurn(turn.Tokens, turn.Output, batch) + turn.Pause
	}
	var slowest time.Duration
	for _, sub := range program.Subs {
		slowest = max(slowest, p.aloneLatency(sub, batch))
	}
	return total + slowest
}

// aloneTurn is the time that a turn takes without waiting: the computation of
// its new prompt tokens, then one step for each token of the answer.
func (p Profile) aloneTurn(prompt, output, batch int) time.Duration {
	return p.prefillTime(prompt) + time.Duration(output)*p.gap(batch)
}

// prefillTime is the time that an engine takes to compute prompt tokens.
func (p Profile) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * p.Engine.PrefillPerToken.Std()
}

// gap is the time between the tokens of a stream in a batch of a size.
func (p Profile) gap(batch int) time.Duration {
	return p.Engine.Step.Std() + time.Duration(batch)*p.Engine.StepPerSequence.Std()
}
