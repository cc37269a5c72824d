package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds, and their precision.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Hour / time.Microsecond)
	digits         = 3
)

// Quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Group is what the programs of one owner and class had.
type Group struct {
	Owner    string    `json:"owner"`
	Class    string    `json:"class"`
	Programs int       `json:"programs"`
	Failed   int       `json:"failed"`
	Refused  int       `json:"refused"`
	Latency  Quantiles `json:"latency"`
}

// Result is the outcome of one run.
type Result struct {
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	// Offered is the load over the whole run and at its crest, as multiples of
	// the engines' capacity.
	Offered      float64 `json:"offered"`
	OfferedCrest float64 `json:"offered_crest"`
	Programs     int     `json:"programs"`
	// Failed counts programs that ended without their whole work; Unfinished
	// those that the end of the run cut off. Both count with the time they had.
	Failed     int            `json:"failed"`
	Unfinished int            `json:"unfinished"`
	Refused    int            `json:"refused"`
	Reasons    map[string]int `json:"reasons"`
	Latency    Quantiles      `json:"latency"`
	Groups     []Group        `json:"groups"`
	// Short are the programs of short work, ShortFirst their waits for a first
	// token.
	Short      Quantiles `json:"short"`
	ShortFirst Quantiles `json:"short_first"`
	// FloorAlone is the floor on engines that run one request, FloorCapacity the
	// one on engines at their capacity.
	FloorAlone    Floor `json:"floor_alone"`
	FloorCapacity Floor `json:"floor_capacity"`
	// Jain is the fairness index of what owners received over what their shares
	// granted them, up to the demand that engines could serve in the time.
	Jain     float64            `json:"jain"`
	Received map[string]float64 `json:"received_over_granted"`
	// JainAllDemand is the index over the whole demand, with what was asked for
	// too late to be served in the time.
	JainAllDemand float64 `json:"jain_all_demand"`
	// HistoryTokens are the prompt tokens that programs had before; Recomputed
	// those of them that no cache held.
	HistoryTokens int `json:"history_tokens"`
	Recomputed    int `json:"recomputed_tokens"`
	// InTime is the part of the programs with a time limit that started at a
	// crest and ended in time.
	InTime      float64 `json:"in_time"`
	InTimeCount int     `json:"in_time_programs"`
	// LateSteps is the part of the engines' steps that the machine delayed: a
	// measure of how far the run can be trusted.
	LateSteps float64 `json:"late_steps"`
	// DaemonSeconds is the processor time of all daemons.
	DaemonSeconds float64 `json:"daemon_processor_seconds"`
	// CDF are the latencies of all programs at each percent, in milliseconds.
	CDF []float64 `json:"cdf_ms"`
}

// histogram records latencies.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{h: hdrhistogram.New(lowestLatency, highestLatency, digits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), lowestLatency), highestLatency))
}

func (h histogram) at(percent float64) float64 {
	return float64(h.h.ValueAtQuantile(percent)) / 1000
}

func (h histogram) quantiles() Quantiles {
	return Quantiles{P50: h.at(50), P95: h.at(95), P99: h.at(99)}
}

// Summarise computes the result of a run.
func Summarise(p Profile, seed uint64, schedule Schedule, samples []Sample) Result {
	result := Result{
		Profile:  p.Name,
		Seed:     seed,
		Offered:  p.Offered(schedule, 0, p.Start.Std()),
		Programs: len(schedule),
		Reasons:  map[string]int{},
	}
	result.OfferedCrest = p.crestLoad(schedule)
	result.FloorAlone = NewFloor(p, schedule, 1)
	result.FloorCapacity = NewFloor(p, schedule, p.Engine.CapacityBatch)
	all := newHistogram()
	for _, sample := range samples {
		result.count(sample)
		all.add(sample.Latency)
	}
	result.Latency = all.quantiles()
	for percent := range 100 {
		result.CDF = append(result.CDF, all.at(float64(percent)))
	}
	result.Groups = p.groups(samples)
	result.short(p, samples)
	result.inTime(p, samples)
	result.fairness(p, samples)
	return result
}

// crestLoad is the offered load during the first crest of the profile, or 0.
func (p Profile) crestLoad(schedule Schedule) float64 {
	for _, work := range p.Work {
		for _, crest := range work.Crest {
			return p.Offered(schedule, crest.From.Std(), crest.To.Std())
		}
	}
	return 0
}

// count adds a sample to the totals.
func (r *Result) count(sample Sample) {
	r.Refused += sample.Refused
	switch {
	case !sample.Ended && !sample.OK:
		r.Unfinished++
	case !sample.OK:
		r.Failed++
		r.Reasons[string(sample.Reason)]++
	}
	for _, turn := range sample.Turns {
		r.HistoryTokens += turn.History
		r.Recomputed += max(turn.History-turn.Usage.CachedTokens, 0)
	}
}

// groups summarises by owner and class.
func (p Profile) groups(samples []Sample) []Group {
	type key struct{ owner, class string }
	groups := map[key]*Group{}
	latencies := map[key]histogram{}
	for _, sample := range samples {
		entry, _ := p.EntryOf(p.Work[sample.Work])
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
		group.Latency = latencies[k].quantiles()
		sorted = append(sorted, *group)
	}
	slices.SortFunc(sorted, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Class, b.Class))
	})
	return sorted
}

// short summarises the short work.
func (r *Result) short(p Profile, samples []Sample) {
	whole, first := newHistogram(), newHistogram()
	for _, sample := range samples {
		if !p.Work[sample.Work].Short {
			continue
		}
		whole.add(sample.Latency)
		for _, turn := range sample.Turns {
			first.add(turn.First)
		}
	}
	r.Short = whole.quantiles()
	r.ShortFirst = first.quantiles()
}

// inTime computes the service at the crest.
func (r *Result) inTime(p Profile, samples []Sample) {
	served := 0
	for _, sample := range samples {
		work := p.Work[sample.Work]
		if work.InTime == 0 || !work.AtCrest(sample.Start) {
			continue
		}
		r.InTimeCount++
		if sample.OK && sample.Latency <= work.InTime.Std() {
			served++
		}
	}
	if r.InTimeCount > 0 {
		r.InTime = float64(served) / float64(r.InTimeCount)
	}
}

// fairness compares what owners received with what their shares granted.
func (r *Result) fairness(p Profile, samples []Sample) {
	from, to := p.FairFrom.Std(), p.FairTo.Std()
	if to == 0 {
		return
	}
	shares := map[string]float64{}
	for _, entry := range p.Entry {
		shares[entry.Owner] += entry.Share
	}
	received := p.received(samples, from, to)
	r.Received = overGranted(received, shares, p.servable(samples, from, to))
	r.Jain = jain(r.Received)
	r.JainAllDemand = jain(overGranted(received, shares, p.demand(samples, from, to)))
}

// overGranted is what each owner received over what its share of the total
// granted it, up to its demand.
func overGranted(received, shares, demand map[string]float64) map[string]float64 {
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

// demand is the engine time that each owner's turns asked for in the time from
// one point to another, with what was still to be done at its begin.
func (p Profile) demand(samples []Sample, from, to time.Duration) map[string]float64 {
	return p.sum(samples, func(turn TurnSample) float64 { return turn.openWithin(from, to) })
}

// servable is the part of the demand that engines at their capacity could have
// served in the time without any waiting: a long turn that was asked for just
// before the end is no demand that a share could have met.
func (p Profile) servable(samples []Sample, from, to time.Duration) map[string]float64 {
	return p.sum(samples, func(turn TurnSample) float64 {
		needed := p.aloneTurn(turn.New, turn.Output, p.Engine.CapacityBatch)
		left := to - max(turn.Asked, from)
		most := float64(left) / float64(max(needed, 1))
		return min(turn.openWithin(from, to), max(most, turn.doneWithin(from, to)))
	})
}

// received is the engine time that each owner had between two times.
func (p Profile) received(samples []Sample, from, to time.Duration) map[string]float64 {
	return p.sum(samples, func(turn TurnSample) float64 { return turn.doneWithin(from, to) })
}

// sum adds up the engine time of the owners' turns, each weighed by part.
func (p Profile) sum(samples []Sample, part func(TurnSample) float64) map[string]float64 {
	total := map[string]float64{}
	for _, sample := range samples {
		entry, _ := p.EntryOf(p.Work[sample.Work])
		for _, turn := range sample.Turns {
			total[entry.Owner] += part(turn) * p.engineTime(turn.New, turn.Output).Seconds()
		}
	}
	return total
}

// openWithin is the part of a turn that was asked for before the end of a time
// and was not done at its begin.
func (t TurnSample) openWithin(from, to time.Duration) float64 {
	if t.Asked >= to || (t.At > 0 && t.At <= from) {
		return 0
	}
	return 1 - t.doneWithin(0, from)
}

// doneWithin is the part of a turn that was done between two times. Its work is
// spread over the computation of its prompt, before the first token, and the
// time from there to its end.
func (t TurnSample) doneWithin(from, to time.Duration) float64 {
	if t.At == 0 {
		return 0
	}
	begin := t.Asked + max(t.First-t.Prefill, 0)
	if begin >= t.At {
		begin = t.At - 1
	}
	overlap := min(t.At, to) - max(begin, from)
	return float64(max(overlap, 0)) / float64(t.At-begin)
}

// waterFill divides a total by shares among owners, none above its demand.
func waterFill(total float64, shares, demand map[string]float64) map[string]float64 {
	granted := map[string]float64{}
	open := map[string]bool{}
	for owner := range demand {
		open[owner] = true
	}
	for len(open) > 0 && total > 0 {
		weight := 0.0
		for owner := range open {
			weight += shares[owner]
		}
		level := total / weight
		filled := false
		for owner := range open {
			if demand[owner] > level*shares[owner] {
				continue
			}
			granted[owner] = demand[owner]
			total -= demand[owner]
			delete(open, owner)
			filled = true
		}
		if filled {
			continue
		}
		for owner := range open {
			granted[owner] = level * shares[owner]
		}
		return granted
	}
	return granted
}

// jain is the fairness index of n ratios: 1 when all are equal, 1/n when one
// has all.
func jain(ratios map[string]float64) float64 {
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
