package engine

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ibisline/internal/structs"
)

// sequence is one request inside the engine. Its fields are guarded by the
// engine's mutex, except pieces.
type sequence struct {
	program      string
	prompt       []structs.Message
	maxTokens    int
	text         string
	finishReason string
	// promptTokens is the length of the prompt, cachedTokens the part of it found
	// in the cache, and prefillTokensLeft the part still to compute before the
	// first token.
	promptTokens      int
	cachedTokens      int
	prefillTokensLeft int
	reservedTokens    int
	sentBytes         int // bytes of text sent to pieces
	// pieces carries the answer. Its buffer holds the whole answer, so that a slow
	// reader does not block the batch. It is closed at the end.
	pieces   chan string
	canceled bool
	crashed  bool
}

// Engine simulates a model engine. New creates it, Run runs its batch, and
// Handler serves its HTTP API.
type Engine struct {
	settings Settings

	mu               sync.Mutex
	faults           Faults
	counts           Counts
	cache            *cache
	waiting          []*sequence
	batch            []*sequence
	wakeup           chan struct{}
	down             bool
	crashed          chan struct{}
	leavingSince     time.Time
	lastStepDuration time.Duration
	reports          *reports
	events           *events
	orders           orderState
}

// New returns an engine; Run starts its batch.
func New(settings Settings) *Engine {
	e := &Engine{
		settings: settings,
		counts:   Counts{Requests: map[string]int{}, Executions: map[string]int{}},
		wakeup:   make(chan struct{}, 1),
		crashed:  make(chan struct{}, 1),
		reports:  newReports(settings.scaled(settings.LoadLag)),
		events:   newEvents(settings.scaled(settings.EventLag), settings.EventGap),
		orders:   orderState{Models: slices.Clone(settings.Models), Adapters: []string{}, Role: "serve"},
	}
	e.cache = newCache(settings.KVTokens, e.recordEviction)
	return e
}

// recordEviction records the eviction of a program's cache. The caller holds mu.
func (e *Engine) recordEviction(program string, tokens int) {
	e.events.add(program, eventEvicted, tokens)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Leaving && !e.faults.Leaving {
		e.leavingSince = time.Now()
	}
	crash := f.Crash
	f.Crash = false
	e.faults = f
	if crash {
		e.crash()
	}
	e.wake()
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Requests = maps.Clone(e.counts.Requests)
	counts.Executions = maps.Clone(e.counts.Executions)
	counts.Evictions = e.cache.evictions
	counts.TotalTokens = counts.PromptTokens + counts.OutputTokens
	counts.Running = len(e.batch)
	counts.Waiting = len(e.waiting)
	counts.KVUsed = e.cache.usedTokens()
	return counts
}

// wake makes the batch loop check its queue and faults again.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// submit appends a request to the queue.
func (e *Engine) submit(program string, prompt []structs.Message, maxTokens int) *sequence {
	text, finish := Answer(prompt, maxTokens)
	s := &sequence{
		program:      program,
		prompt:       prompt,
		maxTokens:    maxTokens,
		text:         text,
		finishReason: finish,
		promptTokens: PromptTokens(prompt),
		pieces:       make(chan string, len(text)/BytesPerToken+1),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		s.crashed = true
		close(s.pieces)
		return s
	}
	e.waiting = append(e.waiting, s)
	e.wake()
	return s
}

// cancel marks a request as canceled; the batch removes it before its next step.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.canceled = true
	e.wake()
}

// Run executes the steps of the batch until ctx ends and returns the error of ctx.
func (e *Engine) Run(ctx context.Context) error {
	next := time.Now()
	for {
		duration, busy := e.beginStep()
		if !busy {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-e.wakeup:
			case <-time.After(reportInterval):
				e.reportWhileIdle()
			}
			next = time.Now()
			continue
		}
		next = next.Add(duration)
		if err := sleepUntil(ctx, next); err != nil {
			return err
		}
		e.endStep(duration, time.Since(next))
	}
}

// sleepUntil waits until t. Waiting for an absolute time keeps late wake-ups from
// adding up.
func sleepUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// beginStep admits the requests that fit and returns the duration of the next
// step, or false when there is nothing to run.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCanceled()
	if e.down || e.faults.Hang {
		return 0, false
	}
	e.admit()
	if e.down || len(e.batch) == 0 {
		return 0, false
	}
	return e.planStep(), true
}

// dropCanceled removes canceled requests from the queue and the batch.
func (e *Engine) dropCanceled() {
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool {
		if s.canceled {
			e.counts.Canceled++
			close(s.pieces)
		}
		return s.canceled
	})
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool {
		if s.canceled {
			e.counts.Canceled++
			e.finish(s)
		}
		return s.canceled
	})
}

// admit moves requests from the queue to the batch in order. It stops at the
// first request that does not fit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.settings.MaxBatch {
		s := e.waiting[0]
		cached, reserved, ok := e.cache.admit(s.program, s.prompt, s.promptTokens+s.maxTokens)
		if !ok {
			return
		}
		e.waiting = e.waiting[1:]
		s.cachedTokens = cached
		s.reservedTokens = reserved
		s.prefillTokensLeft = max(s.promptTokens-cached, 1)
		e.batch = append(e.batch, s)
		e.counts.Executions[s.program+"#"+promptHash(s.prompt)]++
		e.counts.PromptTokens += s.promptTokens
		e.counts.CachedTokens += cached
		if e.hasCrashMarker(s.prompt) {
			e.crash()
			return
		}
	}
}

// hasCrashMarker reports whether a prompt contains the crash marker.
func (e *Engine) hasCrashMarker(prompt []structs.Message) bool {
	if e.settings.CrashMarker == "" {
		return false
	}
	return slices.ContainsFunc(prompt, func(m structs.Message) bool {
		return strings.Contains(m.Content, e.settings.CrashMarker)
	})
}

// planStep assigns the prefill chunk to the sequences in order and returns the
// duration of the step.
func (e *Engine) planStep() time.Duration {
	chunk := e.settings.PrefillChunk
	decoding := 0
	for _, s := range e.batch {
		if s.prefillTokensLeft == 0 {
			decoding++
			continue
		}
		part := min(s.prefillTokensLeft, chunk)
		s.prefillTokensLeft -= part
		chunk -= part
	}
	d := e.settings.StepBase
	d += time.Duration(decoding) * e.settings.StepPerSequence
	d += time.Duration(e.settings.PrefillChunk-chunk) * e.settings.PrefillPerToken
	if e.faults.Speed > 0 {
		d = time.Duration(float64(d) / e.faults.Speed)
	}
	return e.settings.scaled(d)
}

// endStep emits the tokens of a step. late is the delay of the step's end beyond
// its planned time.
func (e *Engine) endStep(duration, late time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastStepDuration = duration
	e.counts.Steps++
	if late > lateStepThreshold {
		e.counts.LateSteps++
	}
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool {
		if s.prefillTokensLeft > 0 {
			return false
		}
		e.emit(s)
		if s.sentBytes < len(s.text) {
			return false
		}
		e.counts.Finished++
		e.finish(s)
		return true
	})
	e.report()
}

// emit sends the next tokens of a sequence to its reader.
func (e *Engine) emit(s *sequence) {
	size := min(e.settings.TokensPerStep*BytesPerToken, len(s.text)-s.sentBytes)
	if size == 0 {
		return
	}
	s.pieces <- s.text[s.sentBytes : s.sentBytes+size]
	s.sentBytes += size
	e.counts.OutputTokens += size / BytesPerToken
}

// finish frees a sequence's memory and stores the messages it computed in the
// cache.
func (e *Engine) finish(s *sequence) {
	close(s.pieces)
	var computed []structs.Message
	if s.prefillTokensLeft == 0 {
		answer := structs.Message{Role: "assistant", Content: s.text[:s.sentBytes]}
		computed = append(slices.Clone(s.prompt), answer)
	}
	e.cache.finish(s.program, s.reservedTokens, computed)
	if computed != nil {
		e.events.add(s.program, eventStored, PromptTokens(computed))
	}
}

// crash aborts all requests, clears the cache and signals Crashed. The engine is
// down until Restart. The caller holds mu.
func (e *Engine) crash() {
	e.counts.Crashes++
	e.down = true
	for _, s := range append(e.batch, e.waiting...) {
		s.crashed = true
		close(s.pieces)
	}
	e.batch = nil
	e.waiting = nil
	e.cache = newCache(e.settings.KVTokens, e.recordEviction)
	select {
	case e.crashed <- struct{}{}:
	default:
	}
}

// Crashed returns a channel that receives a value after each crash.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

// Restart restarts a crashed engine, with an empty cache and without the models
// that were loaded by orders.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.orders.Models = slices.Clone(e.settings.Models)
	e.wake()
}

// reportWhileIdle records a load report while the engine is idle.
func (e *Engine) reportWhileIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report()
}

// report records a report of the current load. The caller holds mu.
func (e *Engine) report() {
	e.reports.add(Load{
		Running:  len(e.batch),
		Waiting:  len(e.waiting),
		KVUsed:   e.cache.usedTokens(),
		KVTotal:  e.settings.KVTokens,
		DecodeMS: float64(e.lastStepDuration) / float64(time.Millisecond) / float64(e.settings.TokensPerStep),
		Leaving:  e.faults.Leaving,
		Models:   slices.Clone(e.orders.Models),
	})
}
