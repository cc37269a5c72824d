// Package ledger accounts for the token budgets of the programs of one shard. It is a state
// machine without I/O and clock.
//
// It guarantees that all turns of a program together generate at most the budget plus one
// turn, whatever fails. A turn is granted at once if the program's total then exceeds the
// durable total by at most one turn; otherwise it waits until a higher total is stored. A
// later home that knows only the stored totals therefore adds one turn to each program and
// is never below the real total.
//
// Totals are stored in a replica on the journals of several instances before they are granted,
// and from time to time in the checkpoint at the platform, which lets a later home read less.
// Where there are too few journals, they are stored in the checkpoint before they are granted.
package ledger

import (
	"context"
	"time"
)

// Reservation asks for the tokens of one turn.
type Reservation struct {
	Program string `msgpack:"p"`
	// ID identifies the attempt. A repeated reservation is granted only once.
	ID     string `msgpack:"i"`
	Budget int    `msgpack:"b"`
	// Tokens is the maximum that the turn generates, and Expected an estimate.
	Tokens   int `msgpack:"t"`
	Expected int `msgpack:"e"`
	// Lifetime is how long an idle program is remembered.
	Lifetime time.Duration `msgpack:"l"`
}

// Decision is the outcome of a reservation.
type Decision uint8

// Decisions.
const (
	// Granted: the turn may run.
	Granted Decision = iota
	// Spent: the turn would exceed the budget.
	Spent
	// NotDurable: the turn may run once a higher total is stored. The reservation is held
	// until Release.
	NotDurable
	// Unknown: the ledger holds no such reservation.
	Unknown
)

// Grant is a granted reservation.
type Grant interface {
	// Confirm waits until the grant is durable. Until then the turn may run, but its output
	// must not be passed on. An error means that the grant will not become durable.
	Confirm(ctx context.Context) error
	// Release ends the reservation with the number of tokens passed on. It is called once
	// and does not block.
	Release(used int)
}

// ProgramTotal is the stored total of a program, or one to be stored.
type ProgramTotal struct {
	Program string `msgpack:"p"`
	// Total is the number of tokens that the program may have used since its start.
	Total int `msgpack:"t"`
	// Expires is when the program is forgotten, in Unix milliseconds.
	Expires int64 `msgpack:"x"`
	// Estimated is set when the program may have used less than Total.
	Estimated bool `msgpack:"e,omitempty"`
	// Sequence orders the writes of one home about a program. It is 0 in a checkpoint, which
	// has a sequence of its own.
	Sequence int64 `msgpack:"q,omitempty"`
	// Open holds the turns in progress in a handover. Total contains their tokens.
	Open []OpenTurn `msgpack:"o,omitempty"`
}

// OpenTurn is a reservation that has not been released.
type OpenTurn struct {
	ID       string `msgpack:"i"`
	Tokens   int    `msgpack:"t"`
	Expected int    `msgpack:"e,omitempty"`
}

// Newer returns the newer of two totals of a program.
func (c ProgramTotal) Newer(other ProgramTotal) ProgramTotal {
	if other.Sequence > c.Sequence {
		return other
	}
	return c
}

// account is the account of one program.
type account struct {
	// base is the number of tokens that the program may have used before it was first seen
	// here. If estimated is set, it is higher than the known usage.
	base      int
	estimated bool
	// spent is the usage of the turns that ended here, open holds the turns in progress.
	spent int
	open  map[string]openTurn
	// checkpointed is the total that the checkpoint is certain to hold, and checkpointing
	// the one in a write in progress. replicated and replicating are the same for the
	// journals.
	checkpointed  int
	checkpointing int
	replicated    int
	replicating   int
	expires       time.Time
	lifetime      time.Duration
	// checkpointedExpiry is the expiry of the program in the checkpoint.
	checkpointedExpiry  int64
	checkpointingExpiry int64
	// section is the checkpoint to which the program belongs, and inActive is set while the
	// active checkpoint is certain to hold it.
	section  section
	inActive bool
}

// section is the checkpoint that holds a program.
type section uint8

const (
	// active: the checkpoint that is written often.
	active section = iota
	// moving: an active program that is being written to the idle checkpoint as well.
	moving
	// idle: the checkpoint of programs without recent turns.
	idle
)

// openTurn is a turn in progress. Handed is set if it was reserved at an earlier home, so that
// its release may be lost.
type openTurn struct {
	tokens, expected int
	handed           bool
}

// total returns the number of tokens that the program may have used.
func (a *account) total() int {
	total := a.base + a.spent
	for _, t := range a.open {
		total += t.tokens
	}
	return total
}

// expectedTotal returns the usage if the turns in progress generate what is expected of
// them, but at least the total minus maxMissing, so that a later home that adds maxMissing
// to it is not below the total.
func (a *account) expectedTotal(maxMissing int) int {
	expected := a.base + a.spent
	for _, t := range a.open {
		expected += t.expected
	}
	return max(expected, a.total()-maxMissing)
}

// retainUntil returns the expiry to store, in Unix milliseconds. It is one lifetime later
// than necessary, so that not every turn of an old program requires a write.
func (a *account) retainUntil() int64 { return a.expires.Add(a.lifetime).UnixMilli() }

// Ledger holds the accounts of one shard. It is not safe for concurrent use.
type Ledger struct {
	programs map[string]*account
	// unrecorded is the number of tokens that earlier homes may have granted to any program
	// beyond the stored totals.
	unrecorded int
	// wantedMaxTurn is the largest turn seen. checkpointedMaxTurn and replicatedMaxTurn are the
	// largest ones that may be granted ahead of the checkpoint and of the journals,
	// checkpointingMaxTurn and replicatingMaxTurn those in a write in progress.
	wantedMaxTurn        int
	checkpointedMaxTurn  int
	checkpointingMaxTurn int
	replicatedMaxTurn    int
	replicatingMaxTurn   int
	durability           Durability
	dirty                bool
}

// Durability selects where a total must be stored before it is granted.
type Durability uint8

// Durability levels.
const (
	// RequireJournals: in the journals. A new home reads them even if it can read the
	// checkpoint.
	RequireJournals Durability = iota
	// RequireCheckpoint: in the checkpoint, where there are too few journals.
	RequireCheckpoint
)

// SetDurability changes the required durability.
func (l *Ledger) SetDurability(durability Durability) { l.durability = durability }

// New returns the ledger of a home whose predecessor may have granted unrecorded tokens to
// any program beyond the stored totals. MaxTurn is the largest turn in the checkpoint.
func New(unrecorded, maxTurn int) *Ledger {
	return &Ledger{
		programs: map[string]*account{}, unrecorded: unrecorded, checkpointedMaxTurn: maxTurn, wantedMaxTurn: maxTurn,
	}
}

// Len returns the number of programs.
func (l *Ledger) Len() int { return len(l.programs) }

// Source is where a stored total was read.
type Source uint8

// Sources.
const (
	// FromCheckpoint and FromIdleCheckpoint are the two checkpoints.
	FromCheckpoint Source = iota
	FromIdleCheckpoint
	// FromJournals: totals newer than the checkpoint.
	FromJournals
)

// Restore adds totals stored by earlier homes. It must precede the first reservation, with
// the idle checkpoint first and the journals last.
func (l *Ledger) Restore(totals []ProgramTotal, from Source) {
	for _, total := range totals {
		a := l.programs[total.Program]
		if a == nil {
			a = &account{open: map[string]openTurn{}, checkpointing: noWrite, replicating: noWrite}
			l.programs[total.Program] = a
		}
		a.base = max(a.base, total.Total+l.unrecorded)
		a.estimated = a.estimated || total.Estimated || l.unrecorded > 0
		a.expires = later(a.expires, time.UnixMilli(total.Expires))
		switch from {
		case FromJournals:
			a.base, a.section = total.Total+l.unrecorded, active
			l.restoreOpen(a, total.Open)
		case FromIdleCheckpoint:
			a.checkpointed, a.checkpointedExpiry, a.section = total.Total, total.Expires, idle
		case FromCheckpoint:
			a.checkpointed, a.checkpointedExpiry, a.section =
				max(a.checkpointed, total.Total), max(a.checkpointedExpiry, total.Expires), active
			a.inActive = true
		}
	}
	l.dirty = l.dirty || from == FromJournals
}

// RestoreHandover adds the exact totals handed over by the previous home. Turns in progress
// stay reserved under their ID, so that a reservation repeated here is charged once.
func (l *Ledger) RestoreHandover(totals []ProgramTotal) {
	for _, total := range totals {
		a := l.programs[total.Program]
		if a == nil {
			a = &account{open: map[string]openTurn{}, checkpointing: noWrite, replicating: noWrite}
			l.programs[total.Program] = a
		}
		if total.Total > a.checkpointed {
			// The program has had turns since it was moved to the idle checkpoint.
			a.section = active
		}
		a.base, a.estimated = total.Total, total.Estimated
		a.expires = later(a.expires, time.UnixMilli(total.Expires))
		l.restoreOpen(a, total.Open)
	}
	l.dirty = true
}

// restoreOpen moves the tokens of turns in progress from the base to open reservations. The
// previous home may not have stored the largest of them anywhere.
func (l *Ledger) restoreOpen(a *account, open []OpenTurn) {
	for _, t := range open {
		a.base -= t.Tokens
		a.open[t.ID] = openTurn{tokens: t.Tokens, expected: t.Expected, handed: true}
		l.wantedMaxTurn = max(l.wantedMaxTurn, t.Tokens)
	}
}

// noWrite is the value of checkpointing and replicating while no write is in progress.
const noWrite = -1

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Reserve decides about a reservation. With NotDurable the reservation is held, and Check
// returns later decisions.
func (l *Ledger) Reserve(r Reservation, now time.Time) Decision {
	a := l.programs[r.Program]
	if a == nil {
		a = &account{
			base: l.unrecorded, estimated: l.unrecorded > 0, open: map[string]openTurn{},
			checkpointing: noWrite, replicating: noWrite,
		}
		l.programs[r.Program] = a
	}
	a.lifetime = r.Lifetime
	a.section = active
	a.expires = now.Add(r.Lifetime)
	if a.checkpointedExpiry < a.expires.UnixMilli() {
		l.dirty = true
	}
	if _, held := a.open[r.ID]; held {
		return l.Check(r)
	}
	if a.total()+r.Tokens > a.limit(r) {
		return Spent
	}
	a.open[r.ID] = openTurn{tokens: r.Tokens, expected: min(r.Expected, r.Tokens)}
	l.wantedMaxTurn = max(l.wantedMaxTurn, r.Tokens)
	l.dirty = true
	return l.Check(r)
}

// limit returns the highest total that a reservation may reach. If the total is an estimate,
// one more turn is allowed: programs may exceed their budget by one turn.
func (a *account) limit(r Reservation) int {
	if a.estimated {
		return r.Budget + r.Tokens
	}
	return r.Budget
}

// Check decides about a held reservation.
func (l *Ledger) Check(r Reservation) Decision {
	a := l.programs[r.Program]
	if a == nil {
		return Unknown
	}
	if _, held := a.open[r.ID]; !held {
		return Unknown
	}
	if r.Tokens <= l.maxTurn() && l.isDurable(a) {
		return Granted
	}
	return NotDurable
}

// maxTurn returns the largest turn that may be granted ahead of the stored totals. It is 0
// until a home has written to the journals, so that it grants nothing before.
func (l *Ledger) maxTurn() int {
	if l.durability == RequireCheckpoint {
		return l.checkpointedMaxTurn
	}
	return l.replicatedMaxTurn
}

// isDurable reports whether a program's total, less one turn, is durable.
func (l *Ledger) isDurable(a *account) bool {
	durable := guaranteed(a.replicated, a.replicating)
	if l.durability == RequireCheckpoint {
		durable = guaranteed(a.checkpointed, a.checkpointing)
	}
	return a.total() <= durable+l.maxTurn()
}

// guaranteed returns the total that is stored for certain: the lower one while a write is in
// progress.
func guaranteed(written, writing int) int {
	if writing == noWrite {
		return written
	}
	return min(written, writing)
}

// Release ends a reservation. Used is the number of tokens that the turn generated.
func (l *Ledger) Release(name, id string, used int) {
	a := l.programs[name]
	if a == nil {
		return
	}
	if _, held := a.open[id]; !held {
		return
	}
	delete(a.open, id)
	a.spent += used
	l.dirty = true
}

// Dirty reports whether the checkpoint is out of date.
func (l *Ledger) Dirty() bool { return l.dirty }

// BeginCheckpoint returns the totals and the largest turn to store in the checkpoint. The
// write is in progress until EndCheckpoint. A turn in progress is charged with its expected
// tokens, because a later home adds the largest turn anyway. No total is below that in the
// journals, ahead of which turns are granted: a later home reads only newer ones from there.
func (l *Ledger) BeginCheckpoint(now time.Time) ([]ProgramTotal, int) {
	l.forget(now)
	l.dirty = false
	totals := make([]ProgramTotal, 0, len(l.programs))
	for name, a := range l.programs {
		if a.section == idle {
			continue
		}
		expected := a.expectedTotal(l.wantedMaxTurn)
		a.checkpointing = max(expected, a.replicated, a.replicating)
		l.dirty = l.dirty || a.checkpointing > expected
		a.checkpointingExpiry = max(a.retainUntil(), a.checkpointedExpiry)
		totals = append(totals, ProgramTotal{
			Program: name, Total: a.checkpointing, Expires: a.checkpointingExpiry, Estimated: a.estimated,
		})
	}
	l.checkpointingMaxTurn = l.wantedMaxTurn
	return totals, l.checkpointingMaxTurn
}

// Outcome is the result of a checkpoint write.
type Outcome uint8

// Outcomes.
const (
	Written Outcome = iota
	NotWritten
	// InDoubt: the write may have been applied, or may be later.
	InDoubt
)

// EndCheckpoint ends the write in progress. If it is in doubt, the lower of the old and the
// new total counts.
func (l *Ledger) EndCheckpoint(outcome Outcome) {
	for _, a := range l.programs {
		if a.checkpointing == noWrite {
			a.inActive = a.inActive && outcome != Written
			continue
		}
		switch outcome {
		case Written:
			a.checkpointed, a.checkpointedExpiry, a.inActive = a.checkpointing, a.checkpointingExpiry, true
		case InDoubt:
			a.checkpointed, a.checkpointedExpiry =
				min(a.checkpointed, a.checkpointing), min(a.checkpointedExpiry, a.checkpointingExpiry)
		}
		a.checkpointing = noWrite
	}
	if outcome == Written {
		l.checkpointedMaxTurn = max(l.checkpointedMaxTurn, l.checkpointingMaxTurn)
	} else {
		l.dirty = true
	}
}

// ReloadCheckpoint applies the content read from the checkpoint after a write in doubt.
func (l *Ledger) ReloadCheckpoint(totals []ProgramTotal, maxTurn int) {
	for _, a := range l.programs {
		a.inActive = false
		if a.section != idle {
			a.checkpointed, a.checkpointedExpiry = 0, 0
		}
	}
	for _, total := range totals {
		if a := l.programs[total.Program]; a != nil && a.section != idle {
			a.checkpointed, a.checkpointedExpiry, a.inActive = total.Total, total.Expires, true
		}
	}
	l.checkpointedMaxTurn = max(maxTurn, 0)
	l.wantedMaxTurn = max(l.wantedMaxTurn, l.checkpointedMaxTurn)
	l.dirty = true
}

// BeginIdleCheckpoint returns the totals to store in the idle checkpoint: the programs
// without a turn since a time, and those that it holds already and the active checkpoint
// does not. The write is in progress until EndIdleCheckpoint. It returns nil if there is no
// program to move.
func (l *Ledger) BeginIdleCheckpoint(since, now time.Time) []ProgramTotal {
	l.forget(now)
	var totals []ProgramTotal
	found := false
	for name, a := range l.programs {
		if a.section == active && len(a.open) == 0 && a.checkpointing == noWrite &&
			a.checkpointed == a.total() && a.lastTurn().Before(since) {
			a.section = moving
			found = true
		}
		if a.section != active || !a.inActive {
			totals = append(totals, ProgramTotal{
				Program: name, Total: a.checkpointed, Expires: a.checkpointedExpiry, Estimated: a.estimated,
			})
		}
	}
	if !found {
		return nil
	}
	return totals
}

// lastTurn returns when the last turn was reserved here, the zero time if none was.
func (a *account) lastTurn() time.Time {
	if a.lifetime == 0 {
		return time.Time{}
	}
	return a.expires.Add(-a.lifetime)
}

// EndIdleCheckpoint ends the write of BeginIdleCheckpoint.
func (l *Ledger) EndIdleCheckpoint(written bool) {
	for _, a := range l.programs {
		if a.section == moving {
			a.section = active
			if written {
				a.section = idle
				l.dirty = true
			}
		}
	}
}

// BeginReplication returns the totals that the journals lack, or all if complete is set, and
// the largest turn to store with them. Sequence must be higher than any before. The write is
// in progress until EndReplication.
func (l *Ledger) BeginReplication(complete bool, sequence int64, now time.Time) ([]ProgramTotal, int) {
	l.forget(now)
	l.replicatingMaxTurn = l.wantedMaxTurn
	var totals []ProgramTotal
	for name, a := range l.programs {
		total := a.expectedTotal(l.replicatingMaxTurn)
		if !complete && total == a.replicated {
			continue
		}
		a.replicating = total
		totals = append(totals, ProgramTotal{
			Program: name, Total: total, Expires: a.retainUntil(), Estimated: a.estimated, Sequence: sequence,
		})
	}
	return totals, l.replicatingMaxTurn
}

// MaxTurnReplicated reports whether the journals hold the largest turn seen.
func (l *Ledger) MaxTurnReplicated() bool { return l.replicatedMaxTurn == l.wantedMaxTurn }

// EndReplication ends the write of BeginReplication. A failed write may have reached some
// journals, so that the lower of the old and the new total counts.
func (l *Ledger) EndReplication(written bool) {
	if written {
		l.replicatedMaxTurn = l.replicatingMaxTurn
	}
	for _, a := range l.programs {
		if a.replicating == noWrite {
			continue
		}
		if written {
			a.replicated = a.replicating
		} else {
			a.replicated = min(a.replicated, a.replicating)
		}
		a.replicating = noWrite
	}
}

// HasPending reports whether any total must still become durable.
func (l *Ledger) HasPending() bool {
	for _, a := range l.programs {
		if !l.isDurable(a) {
			return true
		}
	}
	return false
}

// MaxTurnTokens returns the largest turn in the checkpoint.
func (l *Ledger) MaxTurnTokens() int { return l.checkpointedMaxTurn }

// Total returns the number of tokens that a program may have used, 0 if it is unknown.
func (l *Ledger) Total(program string) int {
	if a := l.programs[program]; a != nil {
		return a.total()
	}
	return 0
}

// Totals returns the total of every program for a handover.
func (l *Ledger) Totals(now time.Time) []ProgramTotal {
	l.forget(now)
	all := make([]ProgramTotal, 0, len(l.programs))
	for name, a := range l.programs {
		total := ProgramTotal{
			Program: name, Total: a.total(), Expires: a.retainUntil(), Estimated: a.estimated || len(a.open) > 0,
		}
		for id, t := range a.open {
			total.Open = append(total.Open, OpenTurn{ID: id, Tokens: t.tokens, Expected: t.expected})
		}
		all = append(all, total)
	}
	return all
}

// forget removes programs that have been idle for their lifetime.
func (l *Ledger) forget(now time.Time) {
	for name, a := range l.programs {
		if now.After(a.expires) && !a.hasOwnTurns() {
			delete(l.programs, name)
		}
	}
}

// hasOwnTurns reports whether a turn reserved at this home is in progress.
func (a *account) hasOwnTurns() bool {
	for _, t := range a.open {
		if !t.handed {
			return true
		}
	}
	return false
}

// Usage is an account in the dump.
type Usage struct {
	Program      string `json:"program"`
	Total        int    `json:"total"`
	Base         int    `json:"base"`
	Open         int    `json:"open"`
	Checkpointed int    `json:"recorded"`
	Replicated   int    `json:"bridged,omitempty"`
	Estimated    bool   `json:"estimated,omitempty"`
}

// Usages returns all accounts.
func (l *Ledger) Usages() []Usage {
	all := make([]Usage, 0, len(l.programs))
	for name, a := range l.programs {
		all = append(all, Usage{
			Program: name, Total: a.total(), Base: a.base, Open: len(a.open), Checkpointed: a.checkpointed,
			Replicated: a.replicated, Estimated: a.estimated,
		})
	}
	return all
}
