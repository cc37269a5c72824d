package load

import "time"

// Floor is the lower bound of the latency of planned programs: no program waits
// in a queue and no prompt token is computed twice. No policy can be faster.
type Floor struct {
	All   Percentiles `json:"all"`
	Short Percentiles `json:"short"`
}

// NewFloor computes the latency floor of a schedule on engines that decode batch
// sequences concurrently.
func NewFloor(p Profile, schedule Schedule, batch int) Floor {
	all, short := newHistogram(), newHistogram()
	for _, program := range schedule {
		latency := p.unqueuedLatency(program, batch)
		all.add(latency)
		if p.Work[program.WorkIndex].Short {
			short.add(latency)
		}
	}
	return Floor{All: all.percentiles(), Short: short.percentiles()}
}

// unqueuedLatency returns the time from the first turn of a program to its end
// without queueing, including its pauses and its slowest sub-agent.
func (p Profile) unqueuedLatency(program Program, batch int) time.Duration {
	var total time.Duration
	for _, turn := range program.Turns {
		total += p.unqueuedTurnTime(turn.PromptTokens, turn.OutputTokens, batch) + turn.Pause
	}
	var slowest time.Duration
	for _, sub := range program.SubAgents {
		slowest = max(slowest, p.unqueuedLatency(sub, batch))
	}
	return total + slowest
}

// unqueuedTurnTime returns the duration of a turn without queueing: the prefill
// of its new prompt tokens, then one decode step per output token.
func (p Profile) unqueuedTurnTime(prompt, output, batch int) time.Duration {
	return p.prefillTime(prompt) + time.Duration(output)*p.interTokenLatency(batch)
}

// prefillTime returns the time that an engine takes to compute prompt tokens.
func (p Profile) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * p.Engine.PrefillPerToken.Std()
}

// interTokenLatency returns the time between two tokens of a stream when the
// engine decodes batch sequences.
func (p Profile) interTokenLatency(batch int) time.Duration {
	return p.Engine.Step.Std() + time.Duration(batch)*p.Engine.StepPerSequence.Std()
}
