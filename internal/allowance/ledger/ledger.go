// Package ledger keeps the accounts of programs at the home of their budgets. It is
// a state machine without I/O and clock.
//
// A home promises that all turns of a program together generate no more than the
// budget and one turn, whatever is lost. It grants a turn at once as long as the
// program's total exceeds what is written down durably by no more than one turn; what
// is beyond waits until more is written. So a later home that knows nothing but what
// is written takes every program for one turn further, and is never below the truth.
//
// Totals are written down twice: in the record at the platform, and on the disks of
// several instances, the bridge, which stands in for the record while the platform
// cannot be reached.
package ledger

import (
	"context"
	"time"
)

// Reservation asks for the tokens of one turn.
type Reservation struct {
	Program string `msgpack:"p"`
	// ID identifies the attempt; the same reservation is granted once.
	ID     string `msgpack:"i"`
	Budget int    `msgpack:"b"`
	// Tokens is the most that the turn generates, and Expected an estimate.
	Tokens   int `msgpack:"t"`
	Expected int `msgpack:"e"`
	// Lifetime is the time for which the program is remembered when idle.
	Lifetime time.Duration `msgpack:"l"`
}

// Decision is what a home does about a reservation.
type Decision uint8

// Decisions.
const (
	// Granted: the turn may run.
	Granted Decision = iota
	// Spent: the budget does not hold the turn.
	Spent
	// Unwritten: the turn may run once more is written down. The reservation is
	// held until Release.
	Unwritten
	// Unknown: the ledger holds no such reservation.
	Unknown
)

// Grant is a reservation that was granted.
type Grant interface {
	// Confirm waits until the grant is written down. Before that nothing that the
	// turn generates may be handed on, although it may run. An error says that it
	// will not be.
	Confirm(ctx context.Context) error
	// Release ends the reservation with what was handed on. It is called once and
	// does not wait.
	Release(used int)
}

// Cover is a total that has to be, or was, written down for a program.
type Cover struct {
	Program string `msgpack:"p"`
	// Total is the number of tokens that the program may have used since its start.
	Total int `msgpack:"t"`
	// Expires is when the program is forgotten, in Unix milliseconds.
	Expires int64 `msgpack:"x"`
	// Estimated is set when the program has used less than Total, or may have.
	Estimated bool `msgpack:"e,omitempty"`
	// Sequence orders what one home wrote about a program; 0 in a record, whose own
	// sequence counts.
	Sequence int64 `msgpack:"q,omitempty"`
}

// Newer returns the newer of two covers of a program.
func (c Cover) Newer(other Cover) Cover {
	if other.Sequence > c.Sequence {
		return other
	}
	return c
}

// account is that of one program.
type account struct {
	// base is what the program may have used before it was first seen here.
	// When estimated is set, that is more than it is known to have used.
	base      int
	estimated bool
	// spent is what ended turns used here, open what turns under way may use.
	spent int
	open  map[string]turn
	// recorded is the total that stands in the record for sure, and recording the
	// one in a write under way; bridged and bridging are the same on the disks.
	recorded  int
	recording int
	bridged   int
	bridging  int
	expires   time.Time
	lifetime  time.Duration
	// written is when the record forgets the program.
	written int64
	writing int64
	// place is the part of the record where the total belongs, and listed is set
	// while the active part holds it for sure.
	place  place
	listed bool
}

// place is the part of the record that holds a program.
type place uint8

const (
	// active is the part that is written often.
	active place = iota
	// moving is for a program of the active part that is being written to the
	// idle one as well.
	moving
	// idle is the part for programs that have not been active lately.
	idle
)

// turn is one under way.
type turn struct{ tokens, expected int }

// total is what the program may have used.
func (a *account) total() int {
	total := a.base + a.spent
	for _, t := range a.open {
		total += t.tokens
	}
	return total
}

// likely is what the program has used if its turns under way are as expected, and at
// least what leaves no more than most of the total unsaid.
func (a *account) likely(most int) int {
	likely := a.base + a.spent
	for _, t := range a.open {
		likely += t.expected
	}
	return max(likely, a.total()-most)
}

// remembered is when the record is to forget the program: late enough that not every
// turn of an old program has to be written down.
func (a *account) remembered() int64 { return a.expires.Add(a.lifetime).UnixMilli() }

// Ledger holds the programs of one shard. It is not safe for concurrent use.
type Ledger struct {
	programs map[string]*account
	// hidden is what earlier homes may have granted to any program beyond what
	// they wrote down.
	hidden int
	// most is the largest turn that the record allows to be granted ahead of it,
	// wanted the largest one seen, and writing the one in a write under way.
	most    int
	wanted  int
	writing int
	rule    Rule
	dirty   bool
}

// Rule says where a total has to be written down before it is granted.
type Rule uint8

// Rules.
const (
	// ByBoth: in the record and on the disks, so that a later home may do with
	// either of them.
	ByBoth Rule = iota
	// ByBridge: on the disks only, while the record cannot be written.
	ByBridge
	// ByRecord: in the record only, where there are too few disks.
	ByRecord
)

// SetRule changes the rule.
func (l *Ledger) SetRule(rule Rule) { l.rule = rule }

// New returns the ledger of a home whose predecessor may have granted hidden tokens
// to any program beyond what it wrote down. Most is the largest turn on record.
func New(hidden, most int) *Ledger {
	return &Ledger{programs: map[string]*account{}, hidden: hidden, most: most, wanted: most}
}

// Len is the number of programs known.
func (l *Ledger) Len() int { return len(l.programs) }

// Source is where an earlier home wrote something down.
type Source uint8

// Sources.
const (
	// FromRecord and FromIdle are the two parts of the record.
	FromRecord Source = iota
	FromIdle
	// FromBridge is newer than the record.
	FromBridge
)

// Inherit takes totals that earlier homes wrote down. It comes before the first
// reservation, the idle part of the record first, the bridge last.
func (l *Ledger) Inherit(covers []Cover, from Source) {
	for _, c := range covers {
		a := l.programs[c.Program]
		if a == nil {
			a = &account{open: map[string]turn{}, recording: none, bridging: none}
			l.programs[c.Program] = a
		}
		a.base = max(a.base, c.Total+l.hidden)
		a.estimated = a.estimated || c.Estimated || l.hidden > 0
		a.expires = later(a.expires, time.UnixMilli(c.Expires))
		switch from {
		case FromBridge:
			a.base, a.place = c.Total+l.hidden, active
		case FromIdle:
			a.recorded, a.written, a.place = c.Total, c.Expires, idle
		case FromRecord:
			a.recorded, a.written, a.place = max(a.recorded, c.Total), max(a.written, c.Expires), active
			a.listed = true
		}
	}
	l.dirty = l.dirty || from == FromBridge
}

// Adopt takes the totals that the former home has handed over. They are exact.
func (l *Ledger) Adopt(totals []Cover) {
	for _, c := range totals {
		a := l.programs[c.Program]
		if a == nil {
			a = &account{open: map[string]turn{}, recording: none, bridging: none}
			l.programs[c.Program] = a
		}
		a.base, a.estimated = c.Total, c.Estimated
		a.expires = later(a.expires, time.UnixMilli(c.Expires))
	}
	l.dirty = true
}

// none stands for the total in a write when there is none.
const none = -1

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Reserve decides about a reservation. With Unwritten it is held, and Check tells
// when that has changed.
func (l *Ledger) Reserve(r Reservation, now time.Time) Decision {
	a := l.programs[r.Program]
	if a == nil {
		a = &account{base: l.hidden, estimated: l.hidden > 0, open: map[string]turn{}, recording: none, bridging: none}
		l.programs[r.Program] = a
	}
	a.lifetime = r.Lifetime
	a.place = active
	a.expires = now.Add(r.Lifetime)
	if a.written < a.expires.UnixMilli() {
		l.dirty = true
	}
	if _, held := a.open[r.ID]; held {
		return l.Check(r)
	}
	if a.total()+r.Tokens > a.limit(r) {
		return Spent
	}
	a.open[r.ID] = turn{tokens: r.Tokens, expected: min(r.Expected, r.Tokens)}
	l.wanted = max(l.wanted, r.Tokens)
	l.dirty = true
	return l.Check(r)
}

// limit is the highest total that a reservation may reach. Where the total is an
// estimate, one turn more is granted: programs may exceed their budget by what a
// single turn generates.
func (a *account) limit(r Reservation) int {
	if a.estimated {
		return r.Budget + r.Tokens
	}
	return r.Budget
}

// Check decides about a reservation that is held.
func (l *Ledger) Check(r Reservation) Decision {
	a := l.programs[r.Program]
	if a == nil {
		return Unknown
	}
	if _, held := a.open[r.ID]; !held {
		return Unknown
	}
	if r.Tokens <= l.most && l.covers(a) {
		return Granted
	}
	return Unwritten
}

// covers reports whether a program's total is written down, up to one turn.
func (l *Ledger) covers(a *account) bool {
	durable := 0
	switch l.rule {
	case ByRecord:
		durable = lowest(a.recorded, a.recording)
	case ByBridge:
		durable = lowest(a.bridged, a.bridging)
	case ByBoth:
		durable = min(lowest(a.recorded, a.recording), lowest(a.bridged, a.bridging))
	}
	return a.total() <= durable+l.most
}

// lowest is the lower of what was written and what is being written, if anything is.
func lowest(written, writing int) int {
	if writing == none {
		return written
	}
	return min(written, writing)
}

// Release ends a reservation. Used is what the turn generated.
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

// Dirty reports whether the record lacks something.
func (l *Ledger) Dirty() bool { return l.dirty }

// Record returns what the record is to hold now, totals and the largest turn. The
// write is under way until Recorded. A program with a turn under way is charged what
// that is expected to generate: a later home adds the largest turn anyway.
func (l *Ledger) Record(now time.Time) ([]Cover, int) {
	l.forget(now)
	covers := make([]Cover, 0, len(l.programs))
	for name, a := range l.programs {
		if a.place == idle {
			continue
		}
		a.recording = a.likely(l.wanted)
		a.writing = max(a.remembered(), a.written)
		covers = append(covers, Cover{Program: name, Total: a.recording, Expires: a.writing, Estimated: a.estimated})
	}
	l.writing = l.wanted
	l.dirty = false
	return covers, l.writing
}

// Outcome is how a write to the record ended.
type Outcome uint8

// Outcomes.
const (
	Written Outcome = iota
	NotWritten
	// InDoubt: it may have been written, or may be later.
	InDoubt
)

// Recorded ends the write under way. In doubt, the lower of two totals counts.
func (l *Ledger) Recorded(outcome Outcome) {
	for _, a := range l.programs {
		if a.recording == none {
			a.listed = a.listed && outcome != Written
			continue
		}
		switch outcome {
		case Written:
			a.recorded, a.written, a.listed = a.recording, a.writing, true
		case InDoubt:
			a.recorded, a.written = min(a.recorded, a.recording), min(a.written, a.writing)
		}
		a.recording = none
	}
	if outcome == Written {
		l.most = max(l.most, l.writing)
	} else {
		l.dirty = true
	}
}

// Reread takes what the record was found to hold after a write in doubt.
func (l *Ledger) Reread(covers []Cover, most int) {
	for _, a := range l.programs {
		a.listed = false
		if a.place != idle {
			a.recorded, a.written = 0, 0
		}
	}
	for _, c := range covers {
		if a := l.programs[c.Program]; a != nil && a.place != idle {
			a.recorded, a.written, a.listed = c.Total, c.Expires, true
		}
	}
	l.most = max(most, 0)
	l.wanted = max(l.wanted, l.most)
	l.dirty = true
}

// Idle returns what the idle part of the record is to hold: the programs that have
// had no turn since a time, and those that are there already and not in the active
// part. The write is under way until Moved. It returns nil when no program is to be
// moved.
func (l *Ledger) Idle(since, now time.Time) []Cover {
	l.forget(now)
	var covers []Cover
	found := false
	for name, a := range l.programs {
		if a.place == active && len(a.open) == 0 && a.recording == none && a.recorded == a.total() && a.lastTurn().Before(since) {
			a.place = moving
			found = true
		}
		if a.place != active || !a.listed {
			covers = append(covers, Cover{Program: name, Total: a.recorded, Expires: a.written, Estimated: a.estimated})
		}
	}
	if !found {
		return nil
	}
	return covers
}

// lastTurn is when the last turn was reserved here, the zero time if none was.
func (a *account) lastTurn() time.Time {
	if a.lifetime == 0 {
		return time.Time{}
	}
	return a.expires.Add(-a.lifetime)
}

// Moved ends the write of Idle.
func (l *Ledger) Moved(written bool) {
	for _, a := range l.programs {
		if a.place == moving {
			a.place = active
			if written {
				a.place = idle
				l.dirty = true
			}
		}
	}
}

// Bridge returns what the disks lack, or everything if whole is set, under a sequence
// higher than any before. The write is under way until Bridged.
func (l *Ledger) Bridge(whole bool, sequence int64, now time.Time) []Cover {
	l.forget(now)
	var covers []Cover
	for name, a := range l.programs {
		total := a.likely(l.most)
		if !whole && total == a.bridged {
			continue
		}
		a.bridging = total
		covers = append(covers, Cover{
			Program: name, Total: total, Expires: a.remembered(), Estimated: a.estimated, Sequence: sequence,
		})
	}
	return covers
}

// Bridged ends the write of Bridge. When it has failed some disks may have taken it,
// so that the lower of two totals counts.
func (l *Ledger) Bridged(written bool) {
	for _, a := range l.programs {
		if a.bridging == none {
			continue
		}
		if written {
			a.bridged = a.bridging
		} else {
			a.bridged = min(a.bridged, a.bridging)
		}
		a.bridging = none
	}
}

// Waiting reports whether a total has to be written down before it is granted.
func (l *Ledger) Waiting() bool {
	for _, a := range l.programs {
		if !l.covers(a) {
			return true
		}
	}
	return false
}

// Most is the largest turn on record.
func (l *Ledger) Most() int { return l.most }

// Total is what a program may have used, 0 if it is not known.
func (l *Ledger) Total(program string) int {
	if a := l.programs[program]; a != nil {
		return a.total()
	}
	return 0
}

// Totals returns what every program may have used, for the next home.
func (l *Ledger) Totals(now time.Time) []Cover {
	l.forget(now)
	all := make([]Cover, 0, len(l.programs))
	for name, a := range l.programs {
		all = append(all, Cover{
			Program: name, Total: a.total(), Expires: a.remembered(), Estimated: a.estimated || len(a.open) > 0,
		})
	}
	return all
}

// forget drops programs that have been idle for their lifetime.
func (l *Ledger) forget(now time.Time) {
	for name, a := range l.programs {
		if len(a.open) == 0 && now.After(a.expires) {
			delete(l.programs, name)
		}
	}
}

// Usage is an account as the dump shows it.
type Usage struct {
	Program   string `json:"program"`
	Total     int    `json:"total"`
	Base      int    `json:"base"`
	Open      int    `json:"open"`
	Recorded  int    `json:"recorded"`
	Bridged   int    `json:"bridged,omitempty"`
	Estimated bool   `json:"estimated,omitempty"`
}

// Usages returns all accounts.
func (l *Ledger) Usages() []Usage {
	all := make([]Usage, 0, len(l.programs))
	for name, a := range l.programs {
		all = append(all, Usage{
			Program: name, Total: a.total(), Base: a.base, Open: len(a.open), Recorded: a.recorded, Bridged: a.bridged,
			Estimated: a.estimated,
		})
	}
	return all
}
