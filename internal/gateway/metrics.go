package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/structs"
)

// requestMetrics are the metrics of requests. Histograms are in seconds, measured from the
// request's arrival unless noted otherwise.
type requestMetrics struct {
	set   *metrics.Set
	kinds map[string]kindHistograms
	// budgetDecided and grantConfirmed are the times until the budget reservation of a turn
	// was decided and its grant persisted. eventGaps are the times between the events of a
	// stream.
	budgetDecided  *metrics.PrometheusHistogram
	grantConfirmed *metrics.PrometheusHistogram
	eventGaps      *metrics.PrometheusHistogram
}

// kindHistograms are the histograms of requests of one kind.
type kindHistograms struct {
	request   *metrics.PrometheusHistogram
	queue     *metrics.PrometheusHistogram
	firstByte *metrics.PrometheusHistogram
}

func newRequestMetrics(set *metrics.Set) requestMetrics {
	m := requestMetrics{
		set:            set,
		kinds:          map[string]kindHistograms{},
		budgetDecided:  set.GetOrCreatePrometheusHistogram(`ibisline_gateway_budget_seconds{step="decided"}`),
		grantConfirmed: set.GetOrCreatePrometheusHistogram(`ibisline_gateway_budget_seconds{step="written"}`),
		eventGaps:      set.GetOrCreatePrometheusHistogram("ibisline_gateway_event_gap_seconds"),
	}
	for _, kind := range []string{
		kindLabels[structs.Stream], kindLabels[structs.Repeatable], kindLabels[structs.AtMostOnce], noKind,
	} {
		histogram := func(name string) *metrics.PrometheusHistogram {
			return set.GetOrCreatePrometheusHistogram(fmt.Sprintf("ibisline_gateway_%s_seconds{kind=%q}", name, kind))
		}
		m.kinds[kind] = kindHistograms{
			request: histogram("request"), queue: histogram("queue"), firstByte: histogram("first_byte"),
		}
	}
	return m
}

// noKind is the kind label of requests without a route.
const noKind = "none"

// kindLabels are the metric labels of the kinds of routes.
var kindLabels = map[structs.WorkKind]string{
	structs.Stream:     "stream",
	structs.Repeatable: "repeatable",
	structs.AtMostOnce: "at_most_once",
}

// kindLabel returns the label of a request's kind, or noKind without a route.
func kindLabel(j *job) string {
	if j.route == nil {
		return noKind
	}
	return kindLabels[j.route.Kind]
}

// recordEnd updates the metrics of a finished request. The caller holds the job's mu.
func (m requestMetrics) recordEnd(j *job) {
	s, kind := &j.summary, kindLabel(j)
	m.increment("ibisline_gateway_requests_total", "kind", kind, "status", strconv.Itoa(s.status))
	histograms := m.kinds[kind]
	histograms.request.Update(time.Since(j.Arrived).Seconds())
	if s.queueTime > 0 {
		histograms.queue.Update(s.queueTime.Seconds())
	}
	if s.firstByteTime > 0 {
		histograms.firstByte.Update(s.firstByteTime.Seconds())
	}
	if j.IsTurn() && s.reserveTime > 0 {
		m.budgetDecided.Update(s.reserveTime.Seconds())
	}
	if j.IsTurn() && s.confirmTime > 0 {
		m.grantConfirmed.Update(s.confirmTime.Seconds())
	}
	if s.failure != nil {
		m.increment("ibisline_gateway_failures_total",
			"reason", string(s.failure.Reason), "verdict", s.failure.Verdict.String())
	}
}

// recordSend counts one send to a server by its outcome, which shows why requests are resent.
func (m requestMetrics) recordSend(kind, outcome string) {
	m.increment("ibisline_gateway_sends_total", "kind", kind, "outcome", strings.ReplaceAll(outcome, " ", "_"))
}

func (m requestMetrics) increment(name, label, value, other, otherValue string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q,%s=%q}", name, label, value, other, otherValue)).Inc()
}
