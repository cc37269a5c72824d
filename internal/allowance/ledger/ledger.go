// Package ledger decides about the token budgets of programs at their home. It is
// a state machine without I/O and clock.
//
// A home promises that all turns of a program together generate no more than the
// budget, whatever is lost: before a total is granted it must be covered, that is
// written down where a later home finds it. Up to a share of the budget a journal on
// the disk of one instance covers it, which costs no call to the platform. Beyond
// that only a record at the platform does. So a home that cannot read all journals
// need only assume that a program has used that share.
package ledger

import (
	"time"
)

// Reservation asks for the tokens of one turn.
type Reservation struct {
	Program string `msgpack:"p"`
	// ID identifies the attempt; the same reservation is granted once.
	ID     string `msgpack:"i"`
	Budget int    `msgpack:"b"`
	// Tokens is the most that the turn generates.
	Tokens int `msgpack:"t"`
	// Lifetime is the time for which the program is remembered when idle.
	Lifetime time.Duration `msgpack:"l"`
}

// Decision is what a home does about a reservation.
type Decision uint8

// Decisions.
const (
	// Granted: the total is covered, the turn may run.
	Granted Decision = iota
	// Spent: the budget does not hold the turn. A total that comes with it is to be
	// written down again, so that it is remembered long enough.
	Spent
	// Journal and Record: the turn may run once a journal, or a record at the
	// platform, covers the total given with the decision.
	Journal
	Record
)

// String returns the name used in logs.
func (d Decision) String() string {
	return [...]string{"earlier cover", "spent", "journal", "record"}[d]
}

// Cover is a total that has to be, or was, written down for a program.
type Cover struct {
	Program string `msgpack:"p" json:"program"`
	// Total is the number of tokens that the program may have used since its start.
	Total int `msgpack:"t" json:"total"`
	// Expires is when the program is forgotten, in Unix milliseconds.
	Expires int64 `msgpack:"x" json:"expires"`
}

// Merge returns c with what is higher in other, about the same program or nothing.
func (c Cover) Merge(other Cover) Cover {
	c.Total = max(c.Total, other.Total)
	c.Expires = max(c.Expires, other.Expires)
	return c
}

// program is the account of one program.
type program struct {
	// base is what the program may have used before it was first seen here.
	// When estimated is set, that is more than it is known to have used.
	base      int
	estimated bool
	// spent is what ended turns used here, open what turns under way may use.
	spent int
	open  map[string]int
	// covered is the highest total written down, in journals or at the platform,
	// until the time at which a later home forgets it.
	covered int
	until   time.Time
	expires time.Time
}

func (p *program) total() int {
	total := p.base + p.spent
	for _, tokens := range p.open {
		total += tokens
	}
	return total
}

// Ledger holds the programs of one shard. It is not safe for concurrent use.
type Ledger struct {
	programs map[string]*program
	// inherited holds what earlier homes wrote down, until a program is seen.
	inherited map[string]Cover
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{programs: map[string]*program{}, inherited: map[string]Cover{}}
}

// Len is the number of programs known.
func (l *Ledger) Len() int { return len(l.programs) }

// Inherit takes what an earlier home wrote down. Of several totals the highest counts.
func (l *Ledger) Inherit(covers []Cover) {
	for _, c := range covers {
		l.inherited[c.Program] = c.Merge(l.inherited[c.Program])
		if p := l.programs[c.Program]; p != nil && c.Total > p.covered {
			p.base = max(p.base, c.Total)
			p.estimated = true
		}
	}
}

// journalShare is the part of a budget that journals alone may cover. Most programs
// stay below it, and what is left lets a program go on that is taken to have used it.
const journalShare = 2.0 / 3

// journaled is that part in tokens: at least one turn, so that the shortest programs
// need no record.
func (r Reservation) journaled() int { return max(int(float64(r.Budget)*journalShare), r.Tokens) }

// Reserve decides about a reservation. certain is set when all that earlier homes
// wrote down has been inherited. With Journal and Record the reservation is held
// until Confirm or Release, and the total to write down is returned.
func (l *Ledger) Reserve(r Reservation, certain bool, now time.Time) (Decision, int) {
	p := l.programs[r.Program]
	if p == nil {
		p = l.meet(r, certain, now)
	}
	p.expires = now.Add(r.Lifetime)
	if _, held := p.open[r.ID]; held {
		return l.coverage(p, r)
	}
	if p.total()+r.Tokens > p.limit(r) {
		if p.until.Before(p.expires) {
			return Spent, max(p.covered, p.total())
		}
		return Spent, 0
	}
	p.open[r.ID] = r.Tokens
	return l.coverage(p, r)
}

// limit is the highest total that a reservation may reach. Where the total is an
// estimate, one turn more is granted: programs may exceed their budget by what a
// single turn generates.
func (p *program) limit(r Reservation) int {
	if p.estimated {
		return r.Budget + r.Tokens
	}
	return r.Budget
}

// meet opens the account of a program that was not seen here before.
func (l *Ledger) meet(r Reservation, certain bool, now time.Time) *program {
	p := &program{open: map[string]int{}}
	if cover, ok := l.inherited[r.Program]; ok && cover.Expires > now.UnixMilli() {
		p.base, p.covered, p.until = cover.Total, cover.Total, time.UnixMilli(cover.Expires)
		// What was written down is often more than was used.
		p.estimated = true
	}
	if !certain {
		p.base = max(p.base, r.journaled())
		p.estimated = true
	}
	l.programs[r.Program] = p
	return p
}

// coverage says what a held reservation still needs.
func (l *Ledger) coverage(p *program, r Reservation) (Decision, int) {
	total := p.total()
	if total <= p.covered {
		if !p.until.Before(p.expires) {
			return Granted, 0
		}
		total = p.covered
	}
	// Nothing is covered ahead: a later home takes what is covered for used.
	if total <= r.journaled() {
		return Journal, total
	}
	return Record, total
}

// Confirm grants a held reservation after its total was written down. It returns
// false, and ends the reservation, when what was learned meanwhile has used the
// budget up.
func (l *Ledger) Confirm(r Reservation, total int, until time.Time) bool {
	p := l.programs[r.Program]
	if p == nil {
		return false
	}
	if _, held := p.open[r.ID]; !held {
		return false
	}
	p.setCovered(total, until)
	if p.total() > p.limit(r) {
		delete(p.open, r.ID)
		return false
	}
	return true
}

// Refreshed notes that a total was written down again until a later time.
func (l *Ledger) Refreshed(name string, total int, until time.Time) {
	if p := l.programs[name]; p != nil {
		p.setCovered(total, until)
	}
}

// setCovered notes what was written down.
func (p *program) setCovered(total int, until time.Time) {
	if total >= p.covered {
		p.covered, p.until = total, until
	}
}

// Release ends a reservation. Used is what the turn generated.
func (l *Ledger) Release(name, id string, used int) {
	p := l.programs[name]
	if p == nil {
		return
	}
	if _, held := p.open[id]; !held {
		return
	}
	delete(p.open, id)
	p.spent += used
}

// Totals returns what every program may have used so far, for the next home. With
// covered set it is what was written down.
func (l *Ledger) Totals(covered bool, now time.Time) []Cover {
	var all []Cover
	for name, c := range l.inherited {
		if l.programs[name] == nil && c.Expires > now.UnixMilli() {
			all = append(all, c)
		}
	}
	for name, p := range l.programs {
		total := p.total()
		if covered {
			total = max(total, p.covered)
		}
		// What is written down for the first time expires with the program; what
		// was written down before must not be forgotten earlier than that says.
		expires := p.expires
		if p.until.After(expires) {
			expires = p.until
		}
		all = append(all, Cover{Program: name, Total: total, Expires: expires.UnixMilli()})
	}
	return all
}

// Cover returns what is written down for a program with a new total. It is
// remembered for twice the lifetime, so that it need not be written at each turn.
func (l *Ledger) Cover(r Reservation, total int, now time.Time) Cover {
	return Cover{Program: r.Program, Total: total, Expires: now.Add(2 * r.Lifetime).UnixMilli()}
}

// Expire forgets programs that have been idle for their lifetime.
func (l *Ledger) Expire(now time.Time) {
	for name, p := range l.programs {
		if len(p.open) == 0 && now.After(p.expires) {
			delete(l.programs, name)
		}
	}
	for name, c := range l.inherited {
		if c.Expires <= now.UnixMilli() {
			delete(l.inherited, name)
		}
	}
}

// Usage is an account as the dump shows it.
type Usage struct {
	Program   string `json:"program"`
	Total     int    `json:"total"`
	Base      int    `json:"base"`
	Open      int    `json:"open"`
	Covered   int    `json:"covered"`
	Estimated bool   `json:"estimated,omitempty"`
}

// Usages returns all accounts.
func (l *Ledger) Usages() []Usage {
	all := make([]Usage, 0, len(l.programs))
	for name, p := range l.programs {
		all = append(all, Usage{
			Program: name, Total: p.total(), Base: p.base, Open: len(p.open), Covered: p.covered, Estimated: p.estimated,
		})
	}
	return all
}
