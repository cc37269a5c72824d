package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Percentiles holds percentiles of a latency in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Group summarises the programs of one owner and class.
type Group struct {
	Owner    string      `json:"owner"`
	Class    string      `json:"class"`
	Programs int         `json:"programs"`
	Failed   int         `json:"failed"`
	Refused  int         `json:"refused"`
	Latency  Percentiles `json:"latency"`
}

// Result is the summary of one run.
type Result struct {
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	// OfferedLoad and OfferedPeakLoad are the load over the whole run and during
	// its first rate change, as multiples of the engines' capacity.
	OfferedLoad     float64 `json:"offered"`
	OfferedPeakLoad float64 `json:"offered_crest"`
	Programs        int     `json:"programs"`
	// Failed counts programs that ended before their last turn; Unfinished those
	// that were still running at the end of the run. Latency includes both, with
	// the time until they stopped.
	Failed     int            `json:"failed"`
	Unfinished int            `json:"unfinished"`
	Refused    int            `json:"refused"`
	Reasons    map[string]int `json:"reasons"`
	Latency    Percentiles    `json:"latency"`
	Groups     []Group        `json:"groups"`
	// Short is the latency of short programs, ShortFirstToken the time to first
	// token of their turns.
	Short           Percentiles `json:"short"`
	ShortFirstToken Percentiles `json:"short_first"`
	// FloorSingleRequest is the floor on engines that run one request,
	// FloorAtCapacity the floor on engines at their capacity.
	FloorSingleRequest Floor `json:"floor_alone"`
	FloorAtCapacity    Floor `json:"floor_capacity"`
	// Jain is Jain's fairness index of the owners' received engine time divided by
	// the time that their shares grant, up to the demand that the engines could
	// serve within the period. ReceivedOverGranted holds the ratio of each owner.
	Jain                float64            `json:"jain"`
	ReceivedOverGranted map[string]float64 `json:"received_over_granted"`
	// JainAllDemand is the index over all demand, including requests that came too
	// late to be served within the period.
	JainAllDemand float64 `json:"jain_all_demand"`
	// HistoryTokens counts the prompt tokens from earlier turns; RecomputedTokens
	// those of them that were not cached.
	HistoryTokens    int `json:"history_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
	// InTimeFraction is the fraction of InTimePrograms that ended within their
	// limit; InTimePrograms counts the programs with a latency limit that started
	// at a load peak.
	InTimeFraction float64 `json:"in_time"`
	InTimePrograms int     `json:"in_time_programs"`
	// DelayedStepFraction is the fraction of the engines' steps that were late
	// because the machine was overloaded. A high value means that the results of
	// the run are unreliable.
	DelayedStepFraction float64 `json:"late_steps"`
	// DaemonCPUSeconds is the CPU time of all daemons.
	DaemonCPUSeconds float64 `json:"daemon_processor_seconds"`
	// LatencyCDF holds the latency of all programs at each percentile from 0 to
	// 99, in milliseconds.
	LatencyCDF []float64 `json:"cdf_ms"`
}

// histogram records latencies in microseconds; values out of its bounds are
// clamped.
type histogram struct{ hist *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hist: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.hist.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (h histogram) percentileMillis(percent float64) float64 {
	return float64(h.hist.ValueAtQuantile(percent)) / 1000
}

func (h histogram) percentiles() Percentiles {
	return Percentiles{P50: h.percentileMillis(50), P95: h.percentileMillis(95), P99: h.percentileMillis(99)}
}

// Summarise computes the result of a run of schedule. It leaves
// DelayedStepFraction and DaemonCPUSeconds to the caller.
func Summarise(p Profile, seed uint64, schedule Schedule, samples []ProgramSample) Result {
	result := Result{
		Profile:     p.Name,
		Seed:        seed,
		OfferedLoad: p.Offered(schedule, 0, p.Start.Std()),
		Programs:    len(schedule),
		Reasons:     map[string]int{},
	}
	result.OfferedPeakLoad = p.peakLoad(schedule)
	result.FloorSingleRequest = NewFloor(p, schedule, 1)
	result.FloorAtCapacity = NewFloor(p, schedule, p.Engine.CapacityBatch)
	all := newHistogram()
	for _, sample := range samples {
		result.addCounts(sample)
		all.add(sample.Latency)
	}
	result.Latency = all.percentiles()
	for percent := range 100 {
		result.LatencyCDF = append(result.LatencyCDF, all.percentileMillis(float64(percent)))
	}
	result.Groups = p.summariseGroups(samples)
	result.summariseShort(p, samples)
	result.summariseInTime(p, samples)
	result.computeFairness(p, samples)
	return result
}

// peakLoad returns the offered load during the first rate change of the profile,
// or 0.
func (p Profile) peakLoad(schedule Schedule) float64 {
	for _, work := range p.Work {
		for _, change := range work.Crest {
			return p.Offered(schedule, change.From.Std(), change.To.Std())
		}
	}
	return 0
}

// addCounts adds sample to the counters of r.
func (r *Result) addCounts(sample ProgramSample) {
	r.Refused += sample.Refused
	switch {
	case !sample.Ended && !sample.OK:
		r.Unfinished++
	case !sample.OK:
		r.Failed++
		r.Reasons[string(sample.Reason)]++
	}
	for _, turn := range sample.Turns {
		r.HistoryTokens += turn.HistoryTokens
		r.RecomputedTokens += max(turn.HistoryTokens-turn.Usage.CachedTokens, 0)
	}
}

// summariseGroups summarises samples by owner and class, sorted by both.
func (p Profile) summariseGroups(samples []ProgramSample) []Group {
	type key struct{ owner, class string }
	groups := map[key]*Group{}
	latencies := map[key]histogram{}
	for _, sample := range samples {
		entry, _ := p.EntryOf(p.Work[sample.WorkIndex])
		k := key{entry.Owner, entry.Class}
		if groups[k] == nil {
			groups[k] = &Group{Owner: k.owner, Class: k.class}
			latencies[k] = newHistogram()
		}
		groups[k].Programs++
		groups[k].Refused += sample.Refused
		if !sample.OK {
			groups[k].Failed++
		}
		latencies[k].add(sample.Latency)
	}
	var sorted []Group
	for k, group := range groups {
		group.Latency = latencies[k].percentiles()
		sorted = append(sorted, *group)
	}
	slices.SortFunc(sorted, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Class, b.Class))
	})
	return sorted
}

// summariseShort computes Short and ShortFirstToken.
func (r *Result) summariseShort(p Profile, samples []ProgramSample) {
	latencies, firstTokens := newHistogram(), newHistogram()
	for _, sample := range samples {
		if !p.Work[sample.WorkIndex].Short {
			continue
		}
		latencies.add(sample.Latency)
		for _, turn := range sample.Turns {
			firstTokens.add(turn.TimeToFirstToken)
		}
	}
	r.Short = latencies.percentiles()
	r.ShortFirstToken = firstTokens.percentiles()
}

// summariseInTime computes InTimePrograms and InTimeFraction.
func (r *Result) summariseInTime(p Profile, samples []ProgramSample) {
	served := 0
	for _, sample := range samples {
		work := p.Work[sample.WorkIndex]
		if work.InTime == 0 || !work.AtPeak(sample.Start) {
			continue
		}
		r.InTimePrograms++
		if sample.OK && sample.Latency <= work.InTime.Std() {
			served++
		}
	}
	if r.InTimePrograms > 0 {
		r.InTimeFraction = float64(served) / float64(r.InTimePrograms)
	}
}

// computeFairness compares the engine time that owners received with the time
// that their shares grant.
func (r *Result) computeFairness(p Profile, samples []ProgramSample) {
	from, to := p.FairFrom.Std(), p.FairTo.Std()
	if to == 0 {
		return
	}
	shares := map[string]float64{}
	for _, entry := range p.Entry {
		shares[entry.Owner] += entry.Share
	}
	received := p.receivedService(samples, from, to)
	r.ReceivedOverGranted = receivedOverGranted(received, shares, p.servableDemand(samples, from, to))
	r.Jain = jainIndex(r.ReceivedOverGranted)
	r.JainAllDemand = jainIndex(receivedOverGranted(received, shares, p.ownerDemand(samples, from, to)))
}

// receivedOverGranted returns, for each owner, the engine time that it received
// divided by the time that its share of the total grants it, up to its demand.
func receivedOverGranted(received, shares, demand map[string]float64) map[string]float64 {
	total := 0.0
	for _, amount := range received {
		total += amount
	}
	ratios := map[string]float64{}
	for owner, amount := range waterFill(total, shares, demand) {
		if amount > 0 {
			ratios[owner] = received[owner] / amount
		}
	}
	return ratios
}

// ownerDemand returns the engine time that each owner requested between from and
// to, including work that was unfinished at from.
func (p Profile) ownerDemand(samples []ProgramSample, from, to time.Duration) map[string]float64 {
	return p.sumEngineTime(samples, func(turn TurnSample) float64 { return turn.requestedFraction(from, to) })
}

// servableDemand returns the part of the demand that engines at their capacity
// could have served between from and to without queueing. It excludes most of a
// long turn requested just before to, because no share could have satisfied it.
func (p Profile) servableDemand(samples []ProgramSample, from, to time.Duration) map[string]float64 {
	return p.sumEngineTime(samples, func(turn TurnSample) float64 {
		needed := p.unqueuedTurnTime(turn.NewTokens, turn.OutputTokens, p.Engine.CapacityBatch)
		available := to - max(turn.RequestedAt, from)
		servable := float64(available) / float64(max(needed, 1))
		return min(turn.requestedFraction(from, to), max(servable, turn.servedFraction(from, to)))
	})
}

// receivedService returns the engine time that each owner received between from
// and to.
func (p Profile) receivedService(samples []ProgramSample, from, to time.Duration) map[string]float64 {
	return p.sumEngineTime(samples, func(turn TurnSample) float64 { return turn.servedFraction(from, to) })
}

// sumEngineTime returns the engine time of each owner's turns in seconds, each
// turn multiplied by its fraction.
func (p Profile) sumEngineTime(samples []ProgramSample, fraction func(TurnSample) float64) map[string]float64 {
	total := map[string]float64{}
	for _, sample := range samples {
		entry, _ := p.EntryOf(p.Work[sample.WorkIndex])
		for _, turn := range sample.Turns {
			total[entry.Owner] += fraction(turn) * p.engineTime(turn.NewTokens, turn.OutputTokens).Seconds()
		}
	}
	return total
}

// requestedFraction returns the fraction of a turn that was requested before to
// and not yet served at from.
func (t TurnSample) requestedFraction(from, to time.Duration) float64 {
	if t.RequestedAt >= to || (t.EndedAt > 0 && t.EndedAt <= from) {
		return 0
	}
	return 1 - t.servedFraction(0, from)
}

// servedFraction returns the fraction of a turn that was served between from and
// to. The work of a turn is assumed to be spread evenly from the start of its
// prefill, which precedes the first token, to its end.
func (t TurnSample) servedFraction(from, to time.Duration) float64 {
	if t.EndedAt == 0 {
		return 0
	}
	workStart := t.RequestedAt + max(t.TimeToFirstToken-t.PrefillTime, 0)
	if workStart >= t.EndedAt {
		workStart = t.EndedAt - 1
	}
	overlap := min(t.EndedAt, to) - max(workStart, from)
	return float64(max(overlap, 0)) / float64(t.EndedAt-workStart)
}

// waterFill divides total among owners in proportion to their shares; no owner
// gets more than its demand.
func waterFill(total float64, shares, demand map[string]float64) map[string]float64 {
	granted := map[string]float64{}
	unsatisfied := map[string]bool{}
	for owner := range demand {
		unsatisfied[owner] = true
	}
	for len(unsatisfied) > 0 && total > 0 {
		weight := 0.0
		for owner := range unsatisfied {
			weight += shares[owner]
		}
		level := total / weight
		satisfied := false
		for owner := range unsatisfied {
			if demand[owner] > level*shares[owner] {
				continue
			}
			granted[owner] = demand[owner]
			total -= demand[owner]
			delete(unsatisfied, owner)
			satisfied = true
		}
		if satisfied {
			continue
		}
		for owner := range unsatisfied {
			granted[owner] = level * shares[owner]
		}
		return granted
	}
	return granted
}

// jainIndex returns Jain's fairness index of n ratios: 1 when all are equal, 1/n
// when all but one are 0.
func jainIndex(ratios map[string]float64) float64 {
	sum, squares := 0.0, 0.0
	for _, ratio := range ratios {
		sum += ratio
		squares += ratio * ratio
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(ratios)) * squares)
}
