package dispatch

import (
	"sync"

	"ibisline/internal/budget"
	"ibisline/internal/structs"
)

const (
	// lengthWeight is the weight of one request in an entry's means.
	lengthWeight = 0.1
	// minPromptRatio bounds how far below its bound a prompt is expected.
	minPromptRatio = 0.05
	// roleAssistant is the role of an answer among a prompt's messages.
	roleAssistant = "assistant"
)

// lengths predicts the lengths of prompts and answers from the finished
// requests of the same catalogue entry. max_tokens is mostly far above the
// answer, and the home's bound of a new message far above its tokens.
type lengths struct {
	mu      sync.Mutex
	entries map[string]*entryLengths
	// promptRatio is the one of all entries, for those of which none finished.
	promptRatio mean
}

// entryLengths are the means of one entry.
type entryLengths struct {
	outputs mean
	// promptRatio is the length of the new messages of a prompt over their bound.
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

// expected returns the request with the expected length of its prompt in place
// of the home's bound.
func (l *lengths) expected(request *structs.GenerateRequest) *structs.GenerateRequest {
	added := addedBound(request)
	result := *request
	result.PromptTokens += int(float64(added)*l.promptRatioOf(request.Entry)) - added
	return &result
}

// addedBound is the home's bound of the messages since the last answer. The
// length of all before them was counted by an engine.
func addedBound(request *structs.GenerateRequest) int {
	begin := len(request.Messages)
	for begin > 0 && request.Messages[begin-1].Role != roleAssistant {
		begin--
	}
	return min(budget.PromptBound(0, request.Messages[begin:]), request.PromptTokens)
}

// promptRatioOf returns the mean length of an entry's new messages over their
// bound, that of all entries while none of this one has finished.
func (l *lengths) promptRatioOf(entry string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ratio := l.entry(entry).promptRatio
	if !ratio.known {
		ratio = l.promptRatio
	}
	if !ratio.known {
		return 1
	}
	return max(ratio.value, minPromptRatio)
}

// observeOutput records the length of a finished answer.
func (l *lengths) observeOutput(request *structs.GenerateRequest, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(request.Entry).outputs.add(float64(tokens))
}

// observePrompt records the length of a finished prompt.
func (l *lengths) observePrompt(request *structs.GenerateRequest, tokens int) {
	added := addedBound(request)
	if added <= 0 {
		return
	}
	counted := request.PromptTokens - added
	ratio := min(float64(tokens-counted)/float64(added), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(request.Entry).promptRatio.add(ratio)
	l.promptRatio.add(ratio)
}
