package dispatch

import (
	"sync"

	"ibisline/internal/structs"
)

// outputWeight is the weight of one answer in an entry's mean.
const outputWeight = 0.1

// outputs predicts the length of answers from the finished ones of the same
// catalogue entry, because max_tokens is mostly far above it.
type outputs struct {
	mu   sync.Mutex
	mean map[string]float64
}

func newOutputs() *outputs { return &outputs{mean: map[string]float64{}} }

// expect returns the expected length of an answer in tokens.
func (o *outputs) expect(request structs.GenerateRequest) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	mean, ok := o.mean[request.Entry]
	if !ok {
		return request.MaxTokens
	}
	return min(int(mean)+1, request.MaxTokens)
}

// observe records a finished answer.
func (o *outputs) observe(request structs.GenerateRequest, usage structs.Usage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	mean, ok := o.mean[request.Entry]
	if !ok {
		mean = float64(usage.OutputTokens)
	}
	o.mean[request.Entry] = mean + outputWeight*(float64(usage.OutputTokens)-mean)
}
