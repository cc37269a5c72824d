package dispatch

import (
	"sync"

	"ibisline/internal/structs"
)

const (
	// lengthWeight is the weight of one request in an entry's means.
	lengthWeight = 0.1
	// minPromptRatio bounds how far below its bound a prompt is expected.
	minPromptRatio = 0.05
)

// lengths predicts the lengths of prompts and answers from the finished
// requests of the same catalogue entry. max_tokens is mostly far above the
// answer, and the home's bound of a new message far above its tokens.
type lengths struct {
	mu      sync.Mutex
	entries map[string]*entryLengths
}

// entryLengths are the means of one entry.
type entryLengths struct {
	outputs mean
	// promptRatio is the uncached part of a prompt over its bound.
	promptRatio mean
}

// mean is a moving mean that starts at its first value.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(value float64) {
	if !m.known {
		m.value, m.known = value, true
		return
	}
	m.value += lengthWeight * (value - m.value)
}

func newLengths() *lengths { return &lengths{entries: map[string]*entryLengths{}} }

// entry returns the means of an entry. The caller holds mu.
func (l *lengths) entry(name string) *entryLengths {
	e := l.entries[name]
	if e == nil {
		e = &entryLengths{}
		l.entries[name] = e
	}
	return e
}

// output returns the expected length of an answer in tokens.
func (l *lengths) output(request *structs.GenerateRequest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	outputs := l.entry(request.Entry).outputs
	if !outputs.known {
		return request.MaxTokens
	}
	return min(int(outputs.value)+1, request.MaxTokens)
}

// prompt returns the expected uncached part of a prompt for its bound.
func (l *lengths) prompt(request *structs.GenerateRequest, bound int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	ratio := l.entry(request.Entry).promptRatio
	if !ratio.known {
		return bound
	}
	return int(float64(bound) * max(ratio.value, minPromptRatio))
}

// observeOutput records the length of a finished answer.
func (l *lengths) observeOutput(request *structs.GenerateRequest, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(request.Entry).outputs.add(float64(tokens))
}

// observePrompt records the length of a prompt whose uncached part was bounded.
// What the engine had evicted meanwhile does not count as a wrong bound.
func (l *lengths) observePrompt(request *structs.GenerateRequest, bound, tokens int) {
	if bound <= 0 {
		return
	}
	believedCached := request.PromptTokens - bound
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(request.Entry).promptRatio.add(min(float64(tokens-believedCached)/float64(bound), 1))
}
