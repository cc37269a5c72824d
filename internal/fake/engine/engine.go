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
	program   string
	prompt    []structs.Message
	maxTokens int
	text      string
	finish    string
	// prompted and cached are tokens of the prompt; prefill is what is left to
	// compute before the first token.
	prompted int
	cached   int
	prefill  int
	reserved int
	sent     int // bytes of text handed out
	// pieces carries the answer; it has room for the whole of it, so that a slow
	// reader does not hold up the batch. It is closed at the end.
	pieces   chan string
	canceled bool
	crashed  bool
}

// Engine is a stand-in engine. Create it with New, run its batch with Run and
// reach it through Handler.
type Engine struct {
	settings Settings

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	cache   *cache
	waiting []*sequence
	batch   []*sequence
	arrived chan struct{}
	down    bool
	crashes chan struct{}
	leftAt  time.Time
	stepped time.Duration
	reports *reports
	events  *events
	orders  orders
}

// New returns an engine that does not run yet.
func New(settings Settings) *Engine {
	e := &Engine{
		settings: settings,
		counts:   Counts{Requests: map[string]int{}, Executions: map[string]int{}},
		arrived:  make(chan struct{}, 1),
		crashes:  make(chan struct{}, 1),
		reports:  newReports(settings.scaled(settings.LoadLag)),
		events:   newEvents(settings.scaled(settings.EventLag), settings.EventGap),
		orders:   orders{Models: slices.Clone(settings.Models), Adapters: []string{}, Role: "serve"},
	}
	e.cache = newCache(settings.KVTokens, e.evicted)
	return e
}

// evicted records a dropped cache. The caller holds mu.
func (e *Engine) evicted(program string, tokens int) {
	e.events.add(program, eventEvicted, tokens)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Leaving && !e.faults.Leaving {
		e.leftAt = time.Now()
	}
	crash := f.Crash
	f.Crash = false
	e.faults = f
	if crash {
		e.crash()
	}
	e.wake()
}

// Faults returns the faults as they stand.
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

// wake lets the batch look at its queue again.
func (e *Engine) wake() {
	select {
	case e.arrived <- struct{}{}:
	default:
	}
}

// submit queues a request in the order of arrival.
func (e *Engine) submit(program string, prompt []structs.Message, maxTokens int) *sequence {
	text, finish := Answer(prompt, maxTokens)
	s := &sequence{
		program:   program,
		prompt:    prompt,
		maxTokens: maxTokens,
		text:      text,
		finish:    finish,
		prompted:  PromptTokens(prompt),
		pieces:    make(chan string, len(text)/BytesPerToken+1),
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

// cancel drops a request; the batch removes it before its next step.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.canceled = true
	e.wake()
}

// Run steps the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	next := time.Now()
	for {
		duration, busy := e.begin()
		if !busy {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-e.arrived:
			case <-time.After(reportEvery):
				e.observe()
			}
			next = time.Now()
			continue
		}
		next = next.Add(duration)
		if err := sleepUntil(ctx, next); err != nil {
			return err
		}
		e.end(duration, time.Since(next))
	}
}

// sleepUntil waits for a point in time, so that late wake-ups don't add up.
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

// begin admits what fits and returns the time of the next step.
func (e *Engine) begin() (time.Duration, bool) {
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
	return e.stepTime(), true
}

// dropCanceled removes requests whose caller went away.
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

// admit moves requests from the queue to the batch, in order, as long as the
// first one fits.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.settings.MaxBatch {
		s := e.waiting[0]
		cached, reserved, ok := e.cache.admit(s.program, s.prompt, s.prompted+s.maxTokens)
		if !ok {
			return
		}
		e.waiting = e.waiting[1:]
		s.cached = cached
		s.reserved = reserved
		s.prefill = max(s.prompted-cached, 1)
		e.batch = append(e.batch, s)
		e.counts.Executions[s.program+"#"+promptHash(s.prompt)]++
		e.counts.PromptTokens += s.prompted
		e.counts.CachedTokens += cached
		if e.marked(s.prompt) {
			e.crash()
			return
		}
	}
}

// marked reports whether a prompt crashes the engine.
func (e *Engine) marked(prompt []structs.Message) bool {
	if e.settings.CrashMarker == "" {
		return false
	}
	return slices.ContainsFunc(prompt, func(m structs.Message) bool {
		return strings.Contains(m.Content, e.settings.CrashMarker)
	})
}

// stepTime spends the prefill chunk on the sequences in order and returns the
// time of the step.
func (e *Engine) stepTime() time.Duration {
	chunk := e.settings.PrefillChunk
	decoding := 0
	for _, s := range e.batch {
		if s.prefill == 0 {
			decoding++
			continue
		}
		part := min(s.prefill, chunk)
		s.prefill -= part
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

// end hands out the tokens of a step that ended late by some time.
func (e *Engine) end(duration, late time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepped = duration
	e.counts.Steps++
	if late > lateStep {
		e.counts.LateSteps++
	}
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool {
		if s.prefill > 0 {
			return false
		}
		e.emit(s)
		if s.sent < len(s.text) {
			return false
		}
		e.counts.Finished++
		e.finish(s)
		return true
	})
	e.report()
}

// emit hands out the next tokens of a sequence.
func (e *Engine) emit(s *sequence) {
	size := min(e.settings.TokensPerStep*BytesPerToken, len(s.text)-s.sent)
	if size == 0 {
		return
	}
	s.pieces <- s.text[s.sent : s.sent+size]
	s.sent += size
	e.counts.OutputTokens += size / BytesPerToken
}

// finish frees a sequence's memory and keeps what it computed as cache.
func (e *Engine) finish(s *sequence) {
	close(s.pieces)
	var computed []structs.Message
	if s.prefill == 0 {
		answer := structs.Message{Role: "assistant", Content: s.text[:s.sent]}
		computed = append(slices.Clone(s.prompt), answer)
	}
	e.cache.finish(s.program, s.reserved, computed)
	if computed != nil {
		e.events.add(s.program, eventStored, PromptTokens(computed))
	}
}

// crash loses all requests and the whole cache, and tells the listener. The
// engine is down until Restart.
func (e *Engine) crash() {
	e.counts.Crashes++
	e.down = true
	for _, s := range append(e.batch, e.waiting...) {
		s.crashed = true
		close(s.pieces)
	}
	e.batch = nil
	e.waiting = nil
	e.cache = newCache(e.settings.KVTokens, e.evicted)
	select {
	case e.crashes <- struct{}{}:
	default:
	}
}

// Crashed returns a channel that receives after each crash.
func (e *Engine) Crashed() <-chan struct{} { return e.crashes }

// Restart brings a crashed engine back, with empty memory and without the
// models that were loaded by orders.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.orders.Models = slices.Clone(e.settings.Models)
	e.wake()
}

// observe records a load report while the engine is idle.
func (e *Engine) observe() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report()
}

// report records the present load. The caller holds mu.
func (e *Engine) report() {
	e.reports.add(Load{
		Running:  len(e.batch),
		Waiting:  len(e.waiting),
		KVUsed:   e.cache.usedTokens(),
		KVTotal:  e.settings.KVTokens,
		DecodeMS: float64(e.stepped) / float64(time.Millisecond) / float64(e.settings.TokensPerStep),
		Leaving:  e.faults.Leaving,
		Models:   slices.Clone(e.orders.Models),
	})
}
