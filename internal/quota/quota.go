// Package quota keeps the requests of each team within the quota that its configuration grants, over
// all gateways together.
//
// One gateway issues the quota of a team; it is chosen among the live ones by rendezvous hashing and
// keeps a token bucket. The others tell it every reportInterval what they have admitted. It answers
// whether the team has used much of its quota lately. If not, gateways admit requests without asking.
// Otherwise each request needs a permit. New programs are refused before the permits run out, and requests
// of programs that have begun wait for theirs, so that programs are served whole or refused at their first
// request. If those that have begun need too much, fewer and fewer of them may wait.
//
//   - An issuer grants requests in a term. A term begins with what all gateways have admitted lately, and ends as
//     soon as any of them has joined the term of another issuer, or none confirms it any more.
//   - While the issuer does not answer, a gateway uses its part of what that had left, and after silentGrace a part of
//     the quota divided by the number of gateways.
//   - Gateways that cannot reach each other have issuers of their own. Each grants the part of the quota
//     that corresponds to the gateways it reaches.
//   - The teams have few issuers, so that the messages do not grow with teams x gateways.
package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"ibisline/internal/issuers"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/verdict"
)

const (
	// reportInterval is the interval at which a gateway tells issuers what it has admitted.
	reportInterval = 150 * time.Millisecond
	// tightPoll is the interval at which a gateway without requests of a team asks whether permits are
	// still needed.
	tightPoll = time.Second
	// callTimeout limits a call to an issuer. It allows for several round trips between regions.
	callTimeout = 150 * time.Millisecond
	// issuerSlots is the number of keys by which issuers are chosen.
	issuerSlots = 8
	// accountMemory is the time after which accounts and shares without requests are dropped.
	accountMemory = time.Minute
	// unknownFraction is the part of the burst that is left if nobody knows what was admitted, at most.
	unknownFraction = 0.4
	// maxStandstill is the time without any activity of this process after which what issuers have said is outdated.
	maxStandstill = 500 * time.Millisecond
	// permitPoll is the interval at which a request of a program that has begun asks for a permit again while the
	// issuer does not answer.
	permitPoll = 40 * time.Millisecond
	// maxPermitWait is the time for which a request of a program that has begun may wait for a permit, at
	// most the time left until its deadline divided by permitWaitDivisor.
	maxPermitWait     = time.Second
	permitWaitDivisor = 4
	// slackDivisor divides Deps.Slack to the part that is granted.
	slackDivisor = 2
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// View is the membership of the daemons.
type View interface {
	issuers.View
	// Reachable returns the daemons that are alive, also those that are leaving.
	Reachable() []structs.Instance
}

// Deps holds the services that Quotas depend on.
type Deps struct {
	View   View
	Dialer peer.Dialer
	Mux    peer.Mux
	// Slack is the number of requests by which a team may exceed its rate and burst in a short time. A
	// part of it is granted, so that requests which arrive together are not refused; the rest covers
	// requests that are reported late.
	Slack int
	// Window and Overrun say what a team may run beyond that: a part Overrun of what its rate and burst allow in any
	// Window.
	Window  time.Duration
	Overrun float64
	// Clock returns the time since some moment, also while the process or the machine stands still.
	Clock func() time.Duration
	// Team returns a team of the configuration in force, and false if there is none.
	Team    func(name string) (*structs.Team, bool)
	Metrics *metrics.Set
	Log     log.Interface
}

var errUnknownSlot = errors.New("unknown slot")

// Quotas admits the requests of teams, and issues the quotas that are assigned to this gateway. It is a
// kernel service and safe for concurrent use.
type Quotas struct {
	deps Deps

	reports         *metrics.Counter
	asked           *metrics.Counter
	refused         *metrics.Counter
	unansweredCalls *metrics.Counter

	// startedAt is the time at which this process began to count.
	startedAt time.Time
	// calls are those in the background.
	calls sync.WaitGroup

	mu     sync.Mutex
	census *issuers.Census
	shares map[string]*share
	// slots holds the issuers of the slots among the gateways of live, "" if there is none.
	slots [issuerSlots]string
	live  *structs.Instance
	// joined holds the terms that this gateway has joined last, 0 for none.
	joined [issuerSlots]uint64
	// terms holds those in which this gateway issues quotas, previous the last ones before, and begunAt when the
	// last one began.
	terms, previous [issuerSlots]*term
	begunAt         [issuerSlots]time.Time
	// activeAt is the time of the last activity, by Deps.Clock.
	activeAt time.Duration
	// running is the context of calls in the background, nil before and after Run.
	running context.Context
}

// New returns Quotas and registers their methods with the mux.
func New(deps Deps) *Quotas {
	q := &Quotas{
		deps:            deps,
		reports:         deps.Metrics.GetOrCreateCounter("ibisline_quota_reports_total"),
		asked:           deps.Metrics.GetOrCreateCounter("ibisline_quota_permits_asked_total"),
		refused:         deps.Metrics.GetOrCreateCounter("ibisline_quota_refused_total"),
		unansweredCalls: deps.Metrics.GetOrCreateCounter("ibisline_quota_unanswered_total"),
		census:          issuers.NewCensus(deps.View),
		shares:          map[string]*share{},
		startedAt:       time.Now(),
		activeAt:        deps.Clock(),
	}
	deps.Metrics.GetOrCreateGauge("ibisline_quota_tight_teams", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		tight := 0
		for _, s := range q.shares {
			if s.said.Tight {
				tight++
			}
		}
		return float64(tight)
	})
	deps.Mux.Handle(methodReport, q.serveReport)
	deps.Mux.Handle(methodTake, q.serveTake)
	deps.Mux.Handle(methodJoin, q.serveJoin)
	deps.Mux.Handle(methodConfirm, q.serveConfirm)
	return q
}

// Admit takes a request from the quota of its team, and waits until it may be sent. Errors are refusals.
func (q *Quotas) Admit(ctx context.Context, team *structs.Team, program Program) error {
	if team.PerSecond <= 0 {
		return nil
	}
	started := time.Now()
	for {
		decided, err := q.tryAdmit(ctx, team, program, started)
		if decided {
			return err
		}
		if !timers.Sleep(ctx, permitPoll) {
			return callerLeft()
		}
	}
}

// tryAdmit decides on a request that came at a time, and returns false if it should ask again soon.
func (q *Quotas) tryAdmit(ctx context.Context, team *structs.Team, program Program, started time.Time) (bool, error) {
	now := time.Now()
	q.mu.Lock()
	q.checkStandstill()
	s := q.share(team.Name, now)
	slot := slotOf(team.Name)
	switch {
	case !s.silentSince.IsZero():
		defer q.mu.Unlock()
		return q.admitOwn(ctx, team, s, program, started)
	case !s.said.Tight:
		defer q.mu.Unlock()
		s.pending++
		s.count(now, q.stepAt(now))
		return true, nil
	case s.refusesNew(program, now):
		retryIn := s.said.RoomIn
		q.mu.Unlock()
		return true, q.refuse(team, retryIn)
	}
	joined := q.joined[slot]
	q.mu.Unlock()
	reply, answered := q.take(ctx, takeRequest{
		Team: team.Name, Term: joined, Program: program, MaxWait: permitWait(ctx, started),
	})
	if answered && reply.Granted && reply.After > 0 && !timers.Sleep(ctx, reply.After) {
		q.Return(team)
		return true, callerLeft()
	}
	now = time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !answered {
		if ctx.Err() == nil {
			s.markSilent(now)
		}
		return q.admitOwn(ctx, team, s, program, started)
	}
	current := q.applyStanding(team.Name, s, reply.Standing, now)
	if !reply.Granted {
		return true, q.refuse(team, reply.After)
	}
	if !current {
		// The permit is not part of the term that this gateway has joined meanwhile.
		s.pending++
	}
	s.programs.add(program.Rank, now)
	s.count(now, q.stepAt(now))
	return true, nil
}

// permitWait returns the time for which a request may wait for a permit.
func permitWait(ctx context.Context, now time.Time) time.Duration {
	deadline, limited := ctx.Deadline()
	if !limited {
		return maxPermitWait
	}
	return min(maxPermitWait, deadline.Sub(now)/permitWaitDivisor)
}

// Check returns the refusal that Admit would return now, as far as this gateway knows without asking the
// issuer, and takes nothing.
func (q *Quotas) Check(team *structs.Team, program Program) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.shares[team.Name]
	if s == nil || !s.said.Tight || !s.silentSince.IsZero() || !s.refusesNew(program, time.Now()) {
		return nil
	}
	return beyondQuota(team, 0)
}

// Return gives back a request that was admitted and did not run.
func (q *Quotas) Return(team *structs.Team) {
	if team.PerSecond <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	s := q.share(team.Name, now)
	s.pending = max(s.pending-1, -q.limitOf(team, 1).burst)
	s.recent.add(q.stepAt(now), -1)
}

// admitOwn decides on a request from this gateway's share of a quota, and returns false if it should ask again
// soon: if its program has begun, or permits were not needed before, a new issuer may grant it. The caller holds mu.
func (q *Quotas) admitOwn(ctx context.Context, team *structs.Team, s *share, p Program, started time.Time) (bool, error) {
	now := time.Now()
	_, known := q.census.Count(now)
	if s.takeOwn(q.limitOf(team, 1), known, q.offsetOf(team.Name), now) {
		s.pending++
		s.programs.add(p.Rank, now)
		s.count(now, q.stepAt(now))
		return true, nil
	}
	mayWait := !s.isCutOff(now) && (!s.isTight() || s.hasBegun(p, now))
	if mayWait && now.Sub(started) < permitWait(ctx, started) {
		return false, nil
	}
	return true, verdict.Refuse(verdict.LimitReached, "the quota of team %s cannot be checked", team.Name).RetryIn(minRetryAfter)
}

// offsetOf returns a number from 0 to 1 that differs between the gateways.
func (q *Quotas) offsetOf(team string) float64 {
	return float64(xxhash.Sum64String(q.deps.View.Self().Name+"/"+team)>>11) / (1 << 53)
}

// refuse returns the refusal of a request beyond the quota of its team. Refused callers return spread
// over some time.
func (q *Quotas) refuse(team *structs.Team, retryIn time.Duration) error {
	q.refused.Inc()
	retryIn = min(max(retryIn, minRetryAfter), maxRetryAfter)
	retryIn += rand.N(retryIn/2 + 1)
	return beyondQuota(team, retryIn)
}

// callerLeft returns the error of a request whose caller left while it waited.
func callerLeft() error {
	return verdict.Refuse(verdict.Canceled, "the caller left before its request was sent")
}

// beyondQuota returns the refusal of a request beyond the quota of its team.
func beyondQuota(team *structs.Team, retryIn time.Duration) error {
	return verdict.Refuse(verdict.QuotaReached, "team %s has used its quota of %v requests/s", team.Name, team.PerSecond).
		RetryIn(retryIn)
}

// share returns this gateway's share of a team's quota. In a process that has just started, its requests need permits
// until the issuer says more: nobody knows what the one before has admitted. The caller holds mu.
func (q *Quotas) share(team string, now time.Time) *share {
	s := q.shares[team]
	if s == nil {
		s = newShare()
		if q.stepAt(now) < recentSteps {
			s.forget()
		}
		q.shares[team] = s
	}
	return s
}

// stepAt returns a time as a step of recent.
func (q *Quotas) stepAt(now time.Time) step { return step(max(now.Sub(q.startedAt), 0) / recentStep) }

// checkStandstill forgets what issuers have said if this process has stood still since. The caller holds mu.
func (q *Quotas) checkStandstill() {
	now := q.deps.Clock()
	if now-q.activeAt > maxStandstill {
		for _, s := range q.shares {
			s.forget()
		}
	}
	q.activeAt = now
}

// applyStanding applies the standing of a team and logs its changes. It returns false, and applies nothing, if it is
// not of the term that this gateway has joined. The caller holds mu.
func (q *Quotas) applyStanding(team string, s *share, said standing, now time.Time) bool {
	joined := &q.joined[slotOf(team)]
	if *joined == 0 {
		*joined = said.Term
	}
	if *joined != said.Term {
		return false
	}
	if s.said.Tight != said.Tight {
		q.deps.Log.WithField("team", team).WithField("tight", said.Tight).WithField("admitted", said.Fraction).
			Info("use of a team's quota changed")
	}
	s.applyStanding(said, now)
	return true
}

// unknownLevel returns what is left of a quota of which nobody knows the use: half of what a team may run beyond it, so
// that a predecessor that has granted everything a moment ago does no harm.
func (q *Quotas) unknownLevel(of limit) float64 {
	tolerated := (of.perSecond*q.deps.Window.Seconds()+float64(of.burst))*q.deps.Overrun + float64(q.deps.Slack)/slackDivisor
	return min(unknownFraction*float64(of.burst), tolerated/2)
}

// limitOf returns the part of a team's quota.
func (q *Quotas) limitOf(team *structs.Team, part float64) limit {
	burst := (team.Burst + float64(q.deps.Slack)/slackDivisor) * part
	return limit{perSecond: team.PerSecond * part, burst: max(1, int(burst))}
}

// slotOf returns the slot of a team.
func slotOf(team string) int { return int(xxhash.Sum64String(team) % issuerSlots) }

// isSlot reports whether a number received from another gateway is a slot.
func isSlot(slot int) bool { return slot >= 0 && slot < issuerSlots }

// issuerOf returns the gateway that issues the quota of a team, and false if there is none. The caller
// holds mu.
func (q *Quotas) issuerOf(team string) (string, bool) {
	q.updateSlots()
	issuer := q.slots[slotOf(team)]
	return issuer, issuer != ""
}

// updateSlots selects the issuers again if the membership has changed, and ends the terms of slots that are not
// issued here any more. The caller holds mu.
func (q *Quotas) updateSlots() {
	live := q.deps.View.Live()
	switch {
	case len(live) == 0:
		q.live, q.slots = nil, [issuerSlots]string{}
	case q.live == &live[0]:
		// A view replaces its slices when the membership changes.
		return
	default:
		q.live = &live[0]
		for i := range q.slots {
			q.slots[i], _ = issuers.Of(q.deps.View, "", "quota/"+strconv.Itoa(i))
		}
	}
	for i, t := range q.terms {
		if t != nil && q.slots[i] != q.deps.View.Self().Name {
			q.endTerm(t)
		}
	}
}

// take asks the issuer of a team for a permit. It returns false if that does not answer.
func (q *Quotas) take(ctx context.Context, r takeRequest) (takeReply, bool) {
	r.From = q.deps.View.Self().Name
	q.mu.Lock()
	issuer, found := q.issuerOf(r.Team)
	q.mu.Unlock()
	if !found {
		return takeReply{}, false
	}
	if issuer == r.From {
		reply := q.issue(r)
		return reply, !reply.Standing.NotIssuer
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply takeReply
	if err := peer.Call(ctx, q.deps.Dialer, issuer, methodTake, r, &reply); err != nil {
		q.recordUnanswered(issuer, err)
		return takeReply{}, false
	}
	return reply, !reply.Standing.NotIssuer
}

func (q *Quotas) recordUnanswered(issuer string, err error) {
	q.unansweredCalls.Inc()
	q.deps.Log.WithError(err).WithField("peer", issuer).Info("no answer of the issuer of quotas, own share is used")
}

// Run reports to the issuers until ctx ends.
func (q *Quotas) Run(ctx context.Context) error {
	ticker := timers.NewTicker(reportInterval)
	defer ticker.Stop()
	q.startCalls(ctx)
	defer q.endCalls()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		q.reportAll(ctx)
	}
}

// startCalls lets calls run in the background, with a context.
func (q *Quotas) startCalls(ctx context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = ctx
}

// endCalls waits for the calls in the background and lets no more run.
func (q *Quotas) endCalls() {
	q.mu.Lock()
	q.running = nil
	q.mu.Unlock()
	q.calls.Wait()
}

// spawn runs a call in the background while Run runs. The caller holds mu.
func (q *Quotas) spawn(call func(ctx context.Context)) {
	if ctx := q.running; ctx != nil {
		q.calls.Go(func() { call(ctx) })
	}
}

// reportAll reports to each issuer.
func (q *Quotas) reportAll(ctx context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for issuer, usages := range q.collect(time.Now()) {
		q.calls.Go(func() { q.report(ctx, issuer, usages) })
	}
}

// collect returns what is to be reported, by issuer, and drops what is not needed any more. The caller holds mu.
func (q *Quotas) collect(now time.Time) map[string][]usage {
	q.checkStandstill()
	q.updateSlots()
	q.confirmTerms()
	// Gateways that are cut off later must be known by then: the part of a quota that a gateway grants or
	// uses depends on their number.
	q.census.Count(now)
	due := map[string][]usage{}
	for name, s := range q.shares {
		_, known := q.deps.Team(name)
		idle := s.pending <= 0 && s.silentSince.IsZero() && (!s.said.Tight || now.Sub(s.toldAt) < tightPoll)
		switch {
		case !known, idle && !s.said.Tight && now.Sub(s.usage.at) > accountMemory:
			delete(q.shares, name)
		case !idle:
			if issuer, found := q.issuerOf(name); found {
				due[issuer] = append(due[issuer], usage{Team: name, Used: max(s.pending, 0), Term: q.joined[slotOf(name)]})
				s.pending = min(s.pending, 0)
			}
		}
	}
	for _, t := range q.terms {
		if t != nil {
			maps.DeleteFunc(t.accounts, func(_ string, a *account) bool { return now.Sub(a.usedAt) > accountMemory })
		}
	}
	return due
}

// report tells an issuer what this gateway has admitted, and applies its answer.
func (q *Quotas) report(ctx context.Context, issuer string, usages []usage) {
	q.reports.Inc()
	self := q.deps.View.Self().Name
	var reply reportReply
	var err error
	if issuer == self {
		reply = q.receive(self, usages)
	} else {
		q.mu.Lock()
		known := q.census.Seen(time.Now())
		q.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		request := reportRequest{From: self, Usages: usages, Known: known}
		err = peer.Call(callCtx, q.deps.Dialer, issuer, methodReport, request, &reply)
		cancel()
		if err != nil && ctx.Err() == nil {
			q.recordUnanswered(issuer, err)
		}
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, u := range usages {
		s := q.shares[u.Team]
		switch {
		case s == nil:
		case q.joined[slotOf(u.Team)] != u.Term && u.Term != 0:
			// This gateway has joined another term meanwhile, which has counted the requests.
		case err != nil || i >= len(reply.Standings) || reply.Standings[i].NotIssuer:
			// The report may have arrived. To count requests twice is the safe error.
			s.pending += u.Used
			s.markSilent(now)
		default:
			q.applyStanding(u.Team, s, reply.Standings[i], now)
		}
	}
}

// receive charges what a gateway has admitted, as the issuer.
func (q *Quotas) receive(from string, usages []usage) reportReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	reply := reportReply{Standings: make([]standing, len(usages))}
	for i, u := range usages {
		reply.Standings[i].NotIssuer = true
		t := q.termOf(slotOf(u.Team), now)
		if t == nil || !q.admits(t, from, u.Term) {
			continue
		}
		if a, known := q.account(t, u.Team, now); known {
			a.charge(u.Used, now)
			reply.Standings[i] = a.standing(now)
			reply.Standings[i].Term = t.id
		}
	}
	return reply
}

// issue grants or denies a permit, as the issuer.
func (q *Quotas) issue(r takeRequest) takeReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	t := q.termOf(slotOf(r.Team), now)
	if t == nil || !q.admits(t, r.From, r.Term) {
		return takeReply{Standing: standing{NotIssuer: true}}
	}
	a, known := q.account(t, r.Team, now)
	if !known {
		return takeReply{Standing: standing{NotIssuer: true}}
	}
	after, granted := a.take(r.Program, r.MaxWait, now)
	reply := takeReply{Standing: a.standing(now), Granted: granted, After: after}
	reply.Standing.Term = t.id
	return reply
}

func (q *Quotas) serveReport(_ context.Context, s peer.Stream) error {
	var request reportRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	q.mu.Lock()
	q.census.Learn(request.Known, time.Now())
	q.mu.Unlock()
	return s.Send(q.receive(request.From, request.Usages))
}

func (q *Quotas) serveTake(_ context.Context, s peer.Stream) error {
	var request takeRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	return s.Send(q.issue(request))
}

// TeamState is the diagnostic dump of a team's quota at this gateway.
type TeamState struct {
	Team string `json:"team"`
	// PerSecond is the rate at which this gateway has admitted requests lately.
	PerSecond float64 `json:"admitted_per_second"`
	Tight     bool    `json:"tight"`
	Fraction  float64 `json:"programs_admitted"`
	Silent    bool    `json:"issuer_silent"`
	// Left is what the issuer has left of the quota, if that is this gateway.
	Left *float64 `json:"left,omitempty"`
}

// Dump returns a list of TeamState.
func (q *Quotas) Dump() any { return q.States() }

// States returns the teams whose quotas this gateway has used lately.
func (q *Quotas) States() []TeamState {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	states := []TeamState{}
	for name, s := range q.shares {
		state := TeamState{
			Team: name, PerSecond: s.usage.rate(now), Tight: s.said.Tight, Fraction: s.said.Fraction, Silent: !s.silentSince.IsZero(),
		}
		if t := q.terms[slotOf(name)]; t != nil && t.accounts[name] != nil {
			left := t.accounts[name].bucket.TokensAt(now)
			state.Left = &left
		}
		states = append(states, state)
	}
	return states
}
