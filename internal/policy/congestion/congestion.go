// Package congestion estimates how busy backend servers are from the time that they take to begin
// their responses.
//
// The load pattern: many gateways before few servers, in a burst. Each gateway has 0 or 1 requests in
// flight at a server, so its own counts show no difference between a server with a long queue and an
// idle one: a slow server has a queue while its neighbours have free slots, and a data centre with more
// callers than slots queues them while the next one is idle. The time that responses take shows the
// requests of all gateways, without a message between them.
//
// The times of a kind of request are compared with its baseline, the time that it takes while servers
// are not busy. The ratios are averaged for each server. One gateway sends few requests to one server, so
// what it lacks there is filled up with the average of the group, the servers of a service in a data
// centre, and what it lacks there with the ratio 1. An average that gets no samples returns to normal,
// so that each gateway tries the server again after a while, with few requests at first.
package congestion

import (
	"math"
	"time"
)

const (
	// The baseline is the mean of the first meanSamples samples, and then an expectile of all: the nth
	// sample moves it by 1/n of the difference, at least by minStep of it, so that it follows lasting
	// changes. A higher one moves it by raiseFactor of that, because a group that is busy for tens of
	// seconds must not become the norm.
	meanSamples = 4
	raiseFactor = 0.25
	minStep     = 0.008

	// memory is the time constant of the average of the ratios.
	memory = 2 * time.Second
	// groupPrior is the number of samples with the ratio 1 that the average of a group includes, and
	// serverPrior that of samples with the average of its group that the average of a server includes,
	// so that a few slow responses do not count as congestion.
	groupPrior  = 4
	serverPrior = 2
	// maxRatio limits the ratio of a single sample.
	maxRatio = 6
	// normalRatio is the average up to which a server is not congested: times vary from one request
	// to another, and the baseline is below their mean.
	normalRatio = 2
	// requestsPerRatio is the load for each 1 by which the average exceeds normalRatio, in requests in
	// flight at a server, the unit in which package balance compares servers.
	requestsPerRatio = 2
)

// Baseline is the time that a kind of request takes to be answered by servers that are not busy.
// The zero value knows no request. It is not safe for concurrent use.
type Baseline struct {
	seconds float64
	samples int
}

// Ratio returns the ratio of the time that a response took to the baseline, and includes the time in
// the baseline.
func (b *Baseline) Ratio(took time.Duration) float64 {
	seconds := max(took.Seconds(), time.Microsecond.Seconds())
	b.samples++
	if b.samples <= meanSamples {
		b.seconds += (seconds - b.seconds) / float64(b.samples)
		return seconds / b.seconds
	}
	ratio := seconds / b.seconds
	step := max(1/float64(b.samples), minStep)
	if ratio > 1 {
		step *= raiseFactor
	}
	b.seconds *= 1 + step*(min(ratio, maxRatio)-1)
	return ratio
}

// Average is the recent average of the ratios of a server or a group. The zero value has no samples. It
// is not safe for concurrent use.
type Average struct {
	// sum and weight are those of the samples at updatedAt.
	sum, weight float64
	updatedAt   time.Time
}

// Record includes the ratio of a response.
func (a *Average) Record(ratio float64, now time.Time) {
	remaining := a.remaining(now)
	a.sum = a.sum*remaining + min(ratio, maxRatio)
	a.weight = a.weight*remaining + 1
	a.updatedAt = now
}

// with returns the average with further samples of a given ratio.
func (a *Average) with(samples, ratio float64, now time.Time) float64 {
	remaining := a.remaining(now)
	return (a.sum*remaining + samples*ratio) / (a.weight*remaining + samples)
}

// remaining returns the part of the recorded samples that still counts.
func (a *Average) remaining(now time.Time) float64 {
	age := max(now.Sub(a.updatedAt), 0)
	return math.Exp(-age.Seconds() / memory.Seconds())
}

// Load returns the load of a server of a group that a gateway does not see in its own counts, in
// requests in flight; 0 if the server is not congested.
func Load(server, group *Average, now time.Time) float64 {
	average := server.with(serverPrior, group.with(groupPrior, 1, now), now)
	return requestsPerRatio * max(average-normalRatio, 0)
}
