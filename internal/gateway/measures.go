package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/structs"
)

// measures are the metrics of requests. Spans are histograms in seconds, from the
// request's arrival unless the name says otherwise.
type measures struct {
	set   *metrics.Set
	kinds map[string]spans
	// decided and written are the times until a turn's budget was, gaps the pauses
	// between the events of a stream.
	decided *metrics.PrometheusHistogram
	written *metrics.PrometheusHistogram
	gaps    *metrics.PrometheusHistogram
}

// spans are the histograms of one kind of requests.
type spans struct {
	request   *metrics.PrometheusHistogram
	queue     *metrics.PrometheusHistogram
	firstByte *metrics.PrometheusHistogram
}

func newMeasures(set *metrics.Set) measures {
	m := measures{
		set:     set,
		kinds:   map[string]spans{},
		decided: set.GetOrCreatePrometheusHistogram(`ibisline_gateway_budget_seconds{step="decided"}`),
		written: set.GetOrCreatePrometheusHistogram(`ibisline_gateway_budget_seconds{step="written"}`),
		gaps:    set.GetOrCreatePrometheusHistogram("ibisline_gateway_event_gap_seconds"),
	}
	for _, kind := range []string{kindNames[structs.Stream], kindNames[structs.Repeatable], kindNames[structs.AtMostOnce], noKind} {
		span := func(name string) *metrics.PrometheusHistogram {
			return set.GetOrCreatePrometheusHistogram(fmt.Sprintf("ibisline_gateway_%s_seconds{kind=%q}", name, kind))
		}
		m.kinds[kind] = spans{request: span("request"), queue: span("queue"), firstByte: span("first_byte")}
	}
	return m
}

// noKind labels requests without a route.
const noKind = "none"

// kindNames label metrics by what a route allows.
var kindNames = map[structs.WorkKind]string{
	structs.Stream:     "stream",
	structs.Repeatable: "repeatable",
	structs.AtMostOnce: "at_most_once",
}

// kindOf labels a request; one without a route has none.
func kindOf(j *job) string {
	if j.route == nil {
		return noKind
	}
	return kindNames[j.route.Kind]
}

// ended counts a request at its end. The caller holds the job's mu.
func (m measures) ended(j *job) {
	a, kind := &j.account, kindOf(j)
	m.count("ibisline_gateway_requests_total", "kind", kind, "status", strconv.Itoa(a.status))
	spans := m.kinds[kind]
	spans.request.Update(time.Since(j.Arrived).Seconds())
	if a.queued > 0 {
		spans.queue.Update(a.queued.Seconds())
	}
	if a.begun > 0 {
		spans.firstByte.Update(a.begun.Seconds())
	}
	if j.IsTurn() && a.reserved > 0 {
		m.decided.Update(a.reserved.Seconds())
	}
	if j.IsTurn() && a.confirmed > 0 {
		m.written.Update(a.confirmed.Seconds())
	}
	if a.failure != nil {
		m.count("ibisline_gateway_failures_total", "reason", string(a.failure.Reason), "verdict", a.failure.Verdict.String())
	}
}

// sent counts one send to a server. A request that is sent more than once shows why.
func (m measures) sent(kind, outcome string) {
	m.count("ibisline_gateway_sends_total", "kind", kind, "outcome", strings.ReplaceAll(outcome, " ", "_"))
}

func (m measures) count(name, label, value, other, otherValue string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q,%s=%q}", name, label, value, other, otherValue)).Inc()
}
