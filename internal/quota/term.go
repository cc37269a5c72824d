package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

const (
	// confirmAfter is the time without a message of another gateway after which an issuer asks some whether its
	// term goes on, and confirmLimit that after which it grants nothing until one says so. A gateway that
	// stood still, or was cut off, still sees the membership of before.
	confirmAfter = 200 * time.Millisecond
	confirmLimit = 500 * time.Millisecond
	// confirmTargets is the number of gateways that are asked.
	confirmTargets = 2
	// termInUse is the time after the last use of a term for which it is confirmed.
	termInUse = 2 * time.Second
	// minTermGap is the least time between the beginnings of two terms of a slot at one gateway.
	minTermGap = 300 * time.Millisecond
	// aloneDelay is the age of a process from which it issues quotas without any other gateway.
	aloneDelay = time.Second
)

// term is the time for which this gateway issues the quotas of a slot. It begins with what all gateways have
// admitted lately, never with the accounts of an earlier term: another gateway may have issued the quotas in between.
// Once a gateway has joined the term of another issuer, this one is over.
type term struct {
	id   uint64
	slot int
	// startedAt is the time at which the gateways were first asked.
	startedAt time.Time
	// ready is set when all gateways have answered, or failed to.
	ready bool
	// members are the gateways that have joined, and joining those that are being asked.
	members, joining map[string]bool
	// gateways is the number of gateways that the term began with.
	gateways int
	// known and usage are what the members have admitted before the term, usage by team.
	known coverage
	usage map[string]*usageRecord
	// accounts holds the accounts of the teams.
	accounts map[string]*account
	// usedAt and confirmedAt are the times of the last use, and of the last message of another member, by Deps.Clock.
	usedAt, confirmedAt time.Duration
	confirming          bool
	// predecessor is the last term of this gateway in the slot.
	predecessor *term
}

// termOf returns the term in which this gateway issues the quotas of a slot, and nil if it does not, or not yet. The
// caller holds mu.
func (q *Quotas) termOf(slot int, now time.Time) *term {
	q.updateSlots()
	if q.slots[slot] == "" || q.slots[slot] != q.deps.View.Self().Name {
		return nil
	}
	t := q.terms[slot]
	if t == nil {
		q.beginTerm(slot, now)
		return nil
	}
	t.usedAt = q.deps.Clock()
	if !t.ready || q.sinceConfirmed(t) > confirmLimit && !q.isAlone() {
		return nil
	}
	return t
}

// sinceConfirmed returns the time since the last message of another member.
func (q *Quotas) sinceConfirmed(t *term) time.Duration { return q.deps.Clock() - t.confirmedAt }

// isAlone reports whether no other gateway is known.
func (q *Quotas) isAlone() bool { return len(q.otherGateways(q.deps.View.Reachable())) == 0 }

// otherGateways returns the names of the gateways among instances, without this one.
func (q *Quotas) otherGateways(instances []structs.Instance) (names []string) {
	for _, instance := range instances {
		if instance.Duty == structs.DutyGateway && instance.Name != q.deps.View.Self().Name {
			names = append(names, instance.Name)
		}
	}
	return names
}

// beginTerm begins a term of a slot and asks all gateways to join it, also those that are leaving. The caller
// holds mu.
func (q *Quotas) beginTerm(slot int, now time.Time) {
	others := q.otherGateways(q.deps.View.Reachable())
	switch {
	case q.running == nil, now.Sub(q.begunAt[slot]) < minTermGap:
		return
	case len(others) == 0 && now.Sub(q.startedAt) < aloneDelay:
		// The others may not be known yet.
		return
	}
	t := &term{
		id: rand.Uint64() | 1, slot: slot, startedAt: now, gateways: len(others) + 1,
		members: map[string]bool{}, joining: map[string]bool{},
		usage: map[string]*usageRecord{}, accounts: map[string]*account{},
		usedAt: q.deps.Clock(), confirmedAt: q.deps.Clock(), predecessor: q.previous[slot],
	}
	if t.predecessor != nil {
		t.predecessor.predecessor = nil
	}
	q.terms[slot], q.begunAt[slot] = t, now
	q.include(t, q.deps.View.Self().Name, q.join(joinRequest{Slot: slot, Term: t.id}, now), now)
	for _, name := range others {
		t.joining[name] = true
	}
	q.spawn(func(ctx context.Context) {
		done := make(chan struct{}, len(others))
		for _, name := range others {
			go func() {
				defer func() { done <- struct{}{} }()
				q.ask(ctx, t, name)
			}()
		}
		for range others {
			<-done
		}
		q.makeReady(t)
	})
}

// ask asks a gateway to join a term and includes its answer.
func (q *Quotas) ask(ctx context.Context, t *term, name string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply joinReply
	err := peer.Call(ctx, q.deps.Dialer, name, methodJoin, joinRequest{Slot: t.slot, Term: t.id}, &reply)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(t.joining, name)
	if err != nil {
		q.deps.Log.WithError(err).WithField("peer", name).Debug("gateway does not join the term of an issuer")
		return
	}
	t.confirmedAt = q.deps.Clock()
	q.include(t, name, reply, time.Now())
}

// askLate asks a gateway that did not answer when the term began. The caller holds mu.
func (q *Quotas) askLate(t *term, name string) {
	if !t.joining[name] && q.running != nil {
		t.joining[name] = true
		q.spawn(func(ctx context.Context) { q.ask(ctx, t, name) })
	}
}

// include makes a gateway a member of a term. What it has admitted is charged, as that before the term is part of
// what the accounts began with. The caller holds mu.
func (q *Quotas) include(t *term, name string, reply joinReply, now time.Time) {
	if t.members[name] {
		return
	}
	before := map[string]float64{}
	for team, a := range t.accounts {
		before[team] = q.startOf(t, team, a.limit)
	}
	t.members[name] = true
	t.gateways = max(t.gateways, len(t.members))
	after := int(now.Sub(t.startedAt) / recentStep)
	t.known.add(reply.Steps - after)
	for _, said := range reply.Teams {
		record := t.usage[said.Team]
		if record == nil {
			record = newUsageRecord()
			t.usage[said.Team] = record
		}
		record.add(said, after)
	}
	for team, a := range t.accounts {
		a.charge(max(int(before[team]-q.startOf(t, team, a.limit)), 0), now)
	}
}

// startOf returns what was left of a quota when a term began. The caller holds mu.
func (q *Quotas) startOf(t *term, team string, of limit) float64 {
	return t.record(team).level(of, t.gateways, t.known, q.unknownLevel(of))
}

// record returns what is known of a team's requests before the term.
func (t *term) record(team string) *usageRecord {
	if record := t.usage[team]; record != nil {
		return record
	}
	return newUsageRecord()
}

// makeReady lets a term grant requests.
func (q *Quotas) makeReady(t *term) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.terms[t.slot] != t {
		return
	}
	if t.gateways > 1 && len(t.members) == 1 {
		// This gateway may be the one that is cut off.
		q.endTerm(t)
		return
	}
	t.ready, t.confirmedAt = true, q.deps.Clock()
	q.deps.Log.WithField("slot", t.slot).WithField("gateways", t.gateways).WithField("answered", len(t.members)).
		WithField("teams", len(t.usage)).WithField("steps_known", t.knownSteps()).Info("quotas of a slot are issued")
}

// knownSteps returns the number of steps that any gateway knows.
func (t *term) knownSteps() int {
	known := slices.Index(t.known[:], 0)
	if known < 0 {
		return recentSteps
	}
	return known
}

// endTerm ends a term. The caller holds mu.
func (q *Quotas) endTerm(t *term) {
	if q.terms[t.slot] == t {
		q.terms[t.slot], q.previous[t.slot] = nil, t
	}
}

// admits reports whether a gateway reports to a term, and asks it to join if it does not. joined is the term that it
// joined last, 0 if its process has joined none: it then has reported nothing to anyone else. The caller holds mu.
func (q *Quotas) admits(t *term, from string, joined uint64) bool {
	switch {
	case joined == 0, joined == t.id && t.members[from]:
		t.members[from] = true
		if from != q.deps.View.Self().Name {
			t.confirmedAt = q.deps.Clock()
		}
		return true
	case t.members[from]:
		q.deps.Log.WithField("slot", t.slot).WithField("peer", from).
			Info("gateway has joined another term, usage is counted again")
		q.endTerm(t)
	default:
		q.askLate(t, from)
	}
	return false
}

// account returns the account of a team with the quota in force, and false if the team is not known. The caller
// holds mu.
func (q *Quotas) account(t *term, name string, now time.Time) (*account, bool) {
	team, known := q.deps.Team(name)
	if !known {
		return nil, false
	}
	live, gateways := q.census.Count(now)
	part := q.limitOf(team, float64(live)/float64(gateways))
	a := t.accounts[name]
	if a == nil {
		a = newAccount(part, q.startOf(t, name, part), t.startedAt, now)
		a.usage = t.record(name).rate(t.gateways, t.known, t.startedAt)
		if t.predecessor != nil && t.predecessor.accounts[name] != nil {
			a.follow(t.predecessor.accounts[name], now)
		}
		t.accounts[name] = a
	}
	a.setLimit(part, now)
	a.use(now)
	return a, true
}

// confirmTerms asks other gateways whether the terms in use go on, where none has reported lately. The caller
// holds mu.
func (q *Quotas) confirmTerms() {
	for _, t := range q.terms {
		if t == nil || !t.ready || t.confirming || q.deps.Clock()-t.usedAt > termInUse || q.sinceConfirmed(t) < confirmAfter {
			continue
		}
		others := q.otherGateways(q.deps.View.Reachable())
		rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
		asked := slices.Clone(others[:min(len(others), confirmTargets)])
		t.confirming = true
		q.spawn(func(ctx context.Context) { q.confirm(ctx, t, asked) })
	}
}

// confirm asks gateways whether a term goes on, and ends it if none of them says so in time.
func (q *Quotas) confirm(ctx context.Context, t *term, names []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan struct{}, len(names))
	for _, name := range names {
		go func() {
			defer func() { replies <- struct{}{} }()
			var reply confirmReply
			if peer.Call(ctx, q.deps.Dialer, name, methodConfirm, confirmRequest{Slot: t.slot}, &reply) != nil {
				return
			}
			q.mu.Lock()
			defer q.mu.Unlock()
			switch {
			case reply.Term == t.id, reply.Term == 0:
				t.confirmedAt = q.deps.Clock()
			case t.members[name]:
				q.endTerm(t)
			default:
				q.askLate(t, name)
			}
		}()
	}
	for range names {
		<-replies
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	t.confirming = false
	if q.sinceConfirmed(t) > confirmLimit && !q.isAlone() {
		q.endTerm(t)
	}
}

// join joins the term of an issuer, and returns what this gateway has admitted of the teams of its slot. These
// requests need not be reported any more. The caller holds mu.
func (q *Quotas) join(r joinRequest, now time.Time) joinReply {
	at := q.stepAt(now)
	reply := joinReply{Steps: int(min(at, recentSteps))}
	for name, s := range q.shares {
		if slotOf(name) != r.Slot {
			continue
		}
		s.pending = 0
		said := teamUsage{Team: name, Counts: s.recent.list(at)}
		if s.said.Burst > 0 {
			// Debts are part of the counts.
			said.Heard, said.Left, said.HeardAgo = true, max(s.said.Left, 0)/float64(s.said.Burst), now.Sub(s.toldAt)
		}
		if len(said.Counts) > 0 || said.Heard {
			reply.Teams = append(reply.Teams, said)
		}
	}
	q.joined[r.Slot] = r.Term
	return reply
}

func (q *Quotas) serveJoin(_ context.Context, s peer.Stream) error {
	var request joinRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	if !isSlot(request.Slot) {
		return errUnknownSlot
	}
	q.mu.Lock()
	reply := q.join(request, time.Now())
	q.mu.Unlock()
	return s.Send(reply)
}

func (q *Quotas) serveConfirm(_ context.Context, s peer.Stream) error {
	var request confirmRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	if !isSlot(request.Slot) {
		return errUnknownSlot
	}
	q.mu.Lock()
	reply := confirmReply{Term: q.joined[request.Slot]}
	q.mu.Unlock()
	return s.Send(reply)
}
