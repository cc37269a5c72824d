// Package ledger accounts for the token budgets of the programs of one shard. It is a state
// machine without I/O and clock.
//
// It guarantees that all turns of a program together generate at most the budget plus one of its
// turns, whatever fails. A turn is granted once it is stored, or at once if all turns of the program that are not
// stored are together no larger than one of them. The first turn waits until the program is stored, so that a
// program which is stored nowhere has used nothing.
//
// A later home that knows only what is stored knows that one turn of each program may be missing. It
// charges nothing for that, which would refuse turns that the budget holds, and grants the program only
// stored turns from then on, so that no second one can get lost. Turns that were in progress are charged
// with their maximum until their end is known.
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
	// ID identifies the reservation, which may be repeated and is granted only once. Request is the caller's
	// identifier of the attempt, for logs.
	ID      string `msgpack:"i"`
	Request string `msgpack:"r"`
	Budget  int    `msgpack:"b"`
	// Tokens is the maximum that the turn generates.
	Tokens int `msgpack:"t"`
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
	// InDoubt: the turn would exceed the budget if turns whose end may not have reached this home yet are
	// still in progress.
	InDoubt
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
	// MissesTurn is set when one turn of the program may be missing from Total.
	MissesTurn bool `msgpack:"u,omitempty"`
	// Sequence orders the writes of one home about a program. It is 0 in a checkpoint, which
	// has a sequence of its own.
	Sequence int64 `msgpack:"q,omitempty"`
	// Open holds the turns in progress. Total contains their tokens.
	Open []OpenTurn `msgpack:"o,omitempty"`
}

// OpenTurn is a reservation that has not been released.
type OpenTurn struct {
	ID     string `msgpack:"i"`
	Tokens int    `msgpack:"t"`
	// InDoubt is set if the turn may have ended at an earlier home.
	InDoubt bool `msgpack:"d,omitempty"`
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
	// here. If missesTurn is set, one turn more may have run.
	base       int
	missesTurn bool
	// spent is the usage of the turns that ended here, open holds the turns in progress.
	spent int
	open  map[string]openTurn
	// largest is the largest turn that was granted here.
	largest int
	// version counts the changes of what is stored.
	version int64
	// inCheckpoint and inJournals are what the two copies of the account cover.
	inCheckpoint coverage
	inJournals   coverage
	expires      time.Time
	lifetime     time.Duration
	// checkpointed is the total that the checkpoint holds, and checkpointedExpiry the expiry; checkpointing
	// and checkpointingExpiry are those of a write in progress.
	checkpointed        int
	checkpointing       int
	checkpointedExpiry  int64
	checkpointingExpiry int64
	// section is the checkpoint to which the program belongs, and inActive is set while the
	// active checkpoint is certain to hold it.
	section  section
	inActive bool
}

func newAccount() *account { return &account{open: map[string]openTurn{}} }

// coverage tells which turns a stored copy of an account contains for certain.
type coverage struct {
	// held is set if the account is stored, and version is the one of the account that is.
	held    bool
	version int64
	// writing is set while writingVersion is being written.
	writing        bool
	writingVersion int64
	// before and since are the tokens of ended turns that the copy does not contain: of those that were
	// reserved before the last write began, and later.
	before, since int
}

// covers reports whether the copy contains a turn that was reserved at a version of the account.
func (c *coverage) covers(version int64) bool { return c.held && version <= c.version }

// begin begins a write of a version of the account.
func (c *coverage) begin(version int64) {
	c.writing, c.writingVersion = true, version
	c.before += c.since
	c.since = 0
}

// end ends the write in progress. Unless it is certain to have succeeded, the copy may be the one before.
func (c *coverage) end(written bool) {
	if c.writing && written {
		c.held, c.version, c.before = true, c.writingVersion, 0
	}
	c.writing = false
}

// recordEnd records the usage of a turn that was reserved at a version of the account.
func (c *coverage) recordEnd(version int64, used int) {
	switch {
	case c.covers(version):
	case c.writing && version <= c.writingVersion:
		c.before += used
	default:
		c.since += used
	}
}

// missing returns the tokens of the turns that the copy of an account may lack.
func (c *coverage) missing(a *account) int {
	tokens := c.before + c.since
	for _, t := range a.open {
		if !c.covers(t.version) {
			tokens += t.tokens
		}
	}
	return tokens
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

// openTurn is a turn in progress, reserved at a version of its account. Handed is set if it was reserved at an
// earlier home, so that its release may be lost, and inDoubt if it may have ended there.
type openTurn struct {
	tokens          int
	version         int64
	handed, inDoubt bool
}

// total returns the number of tokens that the program may have used.
func (a *account) total() int {
	total := a.base + a.spent
	for _, t := range a.open {
		total += t.tokens
	}
	return total
}

// inDoubt returns the tokens of turns that may have ended at an earlier home.
func (a *account) inDoubt() int {
	tokens := 0
	for _, t := range a.open {
		if t.inDoubt {
			tokens += t.tokens
		}
	}
	return tokens
}

// openTurns returns the turns in progress as they are stored.
func (a *account) openTurns() []OpenTurn {
	var open []OpenTurn
	for id, t := range a.open {
		open = append(open, OpenTurn{ID: id, Tokens: t.tokens, InDoubt: t.inDoubt})
	}
	return open
}

// retainUntil returns the expiry to store, in Unix milliseconds. It is one lifetime later
// than necessary, so that not every turn of an old program requires a write.
func (a *account) retainUntil() int64 { return a.expires.Add(a.lifetime).UnixMilli() }

// Ledger holds the accounts of one shard. It is not safe for concurrent use.
type Ledger struct {
	programs map[string]*account
	// afterLoss is set if the previous home may have granted turns that are stored nowhere, and doubtUntil
	// is the time until which the end of a turn that it granted may still arrive.
	afterLoss  bool
	doubtUntil time.Time
	durability Durability
	dirty      bool
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

// New returns the ledger of a home that knows the exact totals, such as those of a handover. The ends of turns
// that are in doubt may arrive until doubtUntil.
func New(doubtUntil time.Time) *Ledger {
	return &Ledger{programs: map[string]*account{}, doubtUntil: doubtUntil}
}

// NewAfterLoss returns the ledger of a home that knows only what its predecessor has stored, so that all open
// turns are in doubt.
func NewAfterLoss(doubtUntil time.Time) *Ledger {
	l := New(doubtUntil)
	l.afterLoss = true
	return l
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
		a := l.account(total.Program)
		a.missesTurn = a.missesTurn || total.MissesTurn || l.afterLoss
		a.expires = later(a.expires, time.UnixMilli(total.Expires))
		if from == FromJournals || total.Total >= a.total() {
			a.set(total, l.afterLoss)
		}
		switch from {
		case FromJournals:
			a.section, a.inCheckpoint.held = active, false
		case FromIdleCheckpoint:
			a.checkpointed, a.checkpointedExpiry, a.section = total.Total, total.Expires, idle
			a.inCheckpoint.held = true
		case FromCheckpoint:
			a.checkpointed, a.checkpointedExpiry, a.section =
				max(a.checkpointed, total.Total), max(a.checkpointedExpiry, total.Expires), active
			a.inCheckpoint.held, a.inActive = true, true
		}
	}
	l.dirty = l.dirty || from == FromJournals
}

// RestoreHandover adds the exact totals handed over by the previous home. Turns in progress
// stay reserved under their ID, so that a reservation repeated here is charged once.
func (l *Ledger) RestoreHandover(totals []ProgramTotal) {
	for _, total := range totals {
		a := l.account(total.Program)
		if total.Total != a.checkpointed || len(total.Open) > 0 {
			// The program has had turns since it was stored there.
			a.section, a.inCheckpoint.held = active, false
		}
		a.missesTurn = total.MissesTurn
		a.expires = later(a.expires, time.UnixMilli(total.Expires))
		a.set(total, false)
	}
	l.dirty = true
}

// account returns the account of a program, creating it if needed.
func (l *Ledger) account(program string) *account {
	a := l.programs[program]
	if a == nil {
		a = newAccount()
		l.programs[program] = a
	}
	return a
}

// set replaces what is known of the usage by a stored total. Its open turns may be in doubt.
func (a *account) set(total ProgramTotal, inDoubt bool) {
	a.base = total.Total
	clear(a.open)
	for _, t := range total.Open {
		a.base -= t.Tokens
		a.open[t.ID] = openTurn{tokens: t.Tokens, handed: true, inDoubt: inDoubt || t.InDoubt}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Reserve decides about a reservation. With NotDurable the reservation is held, and Check
// returns later decisions.
func (l *Ledger) Reserve(r Reservation, now time.Time) Decision {
	a := l.account(r.Program)
	a.lifetime = r.Lifetime
	a.section = active
	a.expires = now.Add(r.Lifetime)
	if a.checkpointedExpiry < a.expires.UnixMilli() {
		l.dirty = true
	}
	if _, held := a.open[r.ID]; held {
		return l.Check(r)
	}
	if over := a.total() + r.Tokens - r.Budget; over > 0 {
		if now.Before(l.doubtUntil) && a.inDoubt() >= over {
			return InDoubt
		}
		return Spent
	}
	a.version++
	a.open[r.ID] = openTurn{tokens: r.Tokens, version: a.version}
	l.dirty = true
	return l.Check(r)
}

// EndDoubt makes turns of a program, by their reservations, count as in progress for certain.
func (l *Ledger) EndDoubt(program string, certain func(id string) bool) {
	a := l.programs[program]
	if a == nil {
		return
	}
	for id, turn := range a.open {
		if turn.inDoubt && certain(id) {
			turn.inDoubt = false
			a.open[id] = turn
		}
	}
}

// Check decides about a held reservation.
func (l *Ledger) Check(r Reservation) Decision {
	a := l.programs[r.Program]
	if a == nil {
		return Unknown
	}
	held, found := a.open[r.ID]
	if !found {
		return Unknown
	}
	if !l.isDurable(a, held) {
		return NotDurable
	}
	a.largest = max(a.largest, r.Tokens)
	return Granted
}

// isDurable reports whether a turn may be granted: it is stored, or is among those that may be missing, which
// are as large as one turn at most. A program that misses a turn already may miss no other one.
func (l *Ledger) isDurable(a *account, turn openTurn) bool {
	stored := &a.inJournals
	if l.durability == RequireCheckpoint {
		stored = &a.inCheckpoint
	}
	return stored.covers(turn.version) ||
		(stored.held && !a.missesTurn && stored.missing(a) <= max(a.largest, turn.tokens))
}

// Release ends a reservation. Used is the number of tokens that the turn generated. It returns false if the
// ledger holds no such reservation.
func (l *Ledger) Release(name, id string, used int) bool {
	a := l.programs[name]
	if a == nil {
		return false
	}
	turn, held := a.open[id]
	if !held {
		return false
	}
	delete(a.open, id)
	a.spent += used
	a.version++
	a.inCheckpoint.recordEnd(turn.version, used)
	a.inJournals.recordEnd(turn.version, used)
	l.dirty = true
	return true
}

// Dirty reports whether the checkpoint is out of date.
func (l *Ledger) Dirty() bool { return l.dirty }

// BeginCheckpoint returns the totals to store in the checkpoint. The write is in progress until
// EndCheckpoint.
func (l *Ledger) BeginCheckpoint(now time.Time) []ProgramTotal {
	l.forget(now)
	l.dirty = false
	totals := make([]ProgramTotal, 0, len(l.programs))
	for name, a := range l.programs {
		if a.section == idle {
			continue
		}
		a.inCheckpoint.begin(a.version)
		a.checkpointing, a.checkpointingExpiry = a.total(), max(a.retainUntil(), a.checkpointedExpiry)
		totals = append(totals, ProgramTotal{
			Program: name, Total: a.checkpointing, Expires: a.checkpointingExpiry, MissesTurn: a.missesTurn,
			Open: a.openTurns(),
		})
	}
	return totals
}

// EndCheckpoint ends the write in progress. It may have been applied, or may be later, even if it is not
// certain to be written.
func (l *Ledger) EndCheckpoint(written bool) {
	for _, a := range l.programs {
		switch {
		case !a.inCheckpoint.writing:
			a.inActive = a.inActive && !written
		case written:
			a.checkpointed, a.checkpointedExpiry, a.inActive = a.checkpointing, a.checkpointingExpiry, true
		default:
			a.checkpointedExpiry = min(a.checkpointedExpiry, a.checkpointingExpiry)
		}
		a.inCheckpoint.end(written)
	}
	l.dirty = l.dirty || !written
}

// ReloadCheckpoint applies the content read from the checkpoint after a write in doubt.
func (l *Ledger) ReloadCheckpoint(totals []ProgramTotal) {
	for _, a := range l.programs {
		a.inActive = false
		if a.section != idle {
			a.checkpointed, a.checkpointedExpiry, a.inCheckpoint.held = 0, 0, false
		}
	}
	for _, total := range totals {
		if a := l.programs[total.Program]; a != nil && a.section != idle {
			a.checkpointed, a.checkpointedExpiry, a.inActive = total.Total, total.Expires, true
		}
	}
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
		if a.section == active && len(a.open) == 0 && !a.inCheckpoint.writing &&
			a.inCheckpoint.covers(a.version) && a.lastTurn().Before(since) {
			a.section = moving
			found = true
		}
		if a.section != active || !a.inActive {
			totals = append(totals, ProgramTotal{
				Program: name, Total: a.checkpointed, Expires: a.checkpointedExpiry, MissesTurn: a.missesTurn,
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

// BeginReplication returns the totals that the journals lack, or all if complete is set. Sequence must
// be higher than any before. The write is in progress until EndReplication.
func (l *Ledger) BeginReplication(complete bool, sequence int64, now time.Time) []ProgramTotal {
	l.forget(now)
	var totals []ProgramTotal
	for name, a := range l.programs {
		if !complete && a.inJournals.covers(a.version) {
			continue
		}
		a.inJournals.begin(a.version)
		totals = append(totals, ProgramTotal{
			Program: name, Total: a.total(), Expires: a.retainUntil(), MissesTurn: a.missesTurn, Sequence: sequence,
			Open: a.openTurns(),
		})
	}
	return totals
}

// EndReplication ends the write of BeginReplication. A failed write may have reached some
// journals.
func (l *Ledger) EndReplication(written bool) {
	for _, a := range l.programs {
		a.inJournals.end(written)
	}
}

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
			Program: name, Total: a.total(), Expires: a.retainUntil(), MissesTurn: a.missesTurn, Open: a.openTurns(),
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
	MissesTurn   bool   `json:"misses_turn,omitempty"`
}

// Usages returns all accounts.
func (l *Ledger) Usages() []Usage {
	all := make([]Usage, 0, len(l.programs))
	for name, a := range l.programs {
		all = append(all, Usage{
			Program: name, Total: a.total(), Base: a.base, Open: len(a.open), Checkpointed: a.checkpointed,
			MissesTurn: a.missesTurn,
		})
	}
	return all
}
