package dispatch

import (
	"sync"

	"ibisline/internal/budget"
	"ibisline/internal/structs"
)

const (
	// lengthMeanWeight is the weight of one request in a moving mean.
	lengthMeanWeight = 0.1
	// minPromptRatio is the lowest expected ratio of new prompt tokens to their
	// bound.
	minPromptRatio = 0.05
	// roleAssistant is the message role of a model answer.
	roleAssistant = "assistant"
)

// lengthEstimator estimates the lengths of prompts and answers from the finished
// requests of the same catalogue entry. The limits of a request are poor
// estimates: max_tokens is usually far above the length of the answer, and the
// home's bound for a new message far above its token count.
type lengthEstimator struct {
	mu      sync.Mutex
	entries map[string]*entryLengths
	// promptRatio is the mean over all entries. It is used for entries without a
	// finished request.
	promptRatio movingMean
}

// entryLengths holds the moving means of one entry.
type entryLengths struct {
	outputs movingMean
	// promptRatio is the token count of the new messages of a prompt divided by
	// their bound.
	promptRatio movingMean
}

// movingMean is an exponential moving mean initialised with its first value.
type movingMean struct {
	value float64
	known bool
}

func (m *movingMean) add(value float64) {
	if !m.known {
		m.value, m.known = value, true
		return
	}
	m.value += lengthMeanWeight * (value - m.value)
}

func newLengthEstimator() *lengthEstimator {
	return &lengthEstimator{entries: map[string]*entryLengths{}}
}

// entry returns the means of an entry. The caller must hold mu.
func (l *lengthEstimator) entry(name string) *entryLengths {
	e := l.entries[name]
	if e == nil {
		e = &entryLengths{}
		l.entries[name] = e
	}
	return e
}

// expectedOutput returns the expected length of an answer in tokens.
func (l *lengthEstimator) expectedOutput(request *structs.GenerateRequest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	outputs := l.entry(request.Entry).outputs
	if !outputs.known {
		return request.MaxTokens
	}
	return min(int(outputs.value)+1, request.MaxTokens)
}

// withExpectedPrompt returns a copy of the request whose PromptTokens is the
// expected prompt length instead of the home's bound.
func (l *lengthEstimator) withExpectedPrompt(request *structs.GenerateRequest) *structs.GenerateRequest {
	added := newMessagesBound(request)
	result := *request
	result.PromptTokens += int(float64(added)*l.promptRatioOf(request.Entry)) - added
	return &result
}

// newMessagesBound is the home's bound, in tokens, for the messages since the
// last answer. Earlier messages were counted by an engine.
func newMessagesBound(request *structs.GenerateRequest) int {
	begin := len(request.Messages)
	for begin > 0 && request.Messages[begin-1].Role != roleAssistant {
		begin--
	}
	return min(budget.PromptBound(0, request.Messages[begin:]), request.PromptTokens)
}

// promptRatioOf returns the mean prompt ratio of an entry. Before the entry's
// first finished request it returns the mean over all entries, or 1 without any.
func (l *lengthEstimator) promptRatioOf(entry string) float64 {
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
func (l *lengthEstimator) observeOutput(request *structs.GenerateRequest, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(request.Entry).outputs.add(float64(tokens))
}

// observePrompt records the length of a finished prompt.
func (l *lengthEstimator) observePrompt(request *structs.GenerateRequest, tokens int) {
	added := newMessagesBound(request)
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
