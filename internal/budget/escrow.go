// Package budget implements the accounting of program budgets. A budget is held in
// escrow: a durable record grants a part of it, and spending within the grant needs
// no write.
package budget

// Escrow is the durable record of one budget, in tokens or calls.
type Escrow struct {
	// Granted is the total amount that may be spent before the next write,
	// including Spent. A takeover without a clean handover counts all of it as
	// spent.
	Granted int `msgpack:"g,omitempty"`
	// Spent is the total amount charged when the record was written.
	Spent int `msgpack:"s,omitempty"`
}

// Unlimited is the limit of a budget without a limit, as in a catalogue entry.
const Unlimited = 0

// Left returns the part of limit that is neither spent nor reserved, at least 0. The
// result is not meaningful if limit is Unlimited.
func (e Escrow) Left(limit, reserved int) int {
	return max(0, limit-e.Spent-reserved)
}

// Extend raises the grant so that it covers the spent and reserved amounts, amount
// and headroom, as far as limit permits. It never lowers the grant.
func (e *Escrow) Extend(limit, reserved, amount, headroom int) {
	wanted := e.Spent + reserved + amount + headroom
	if limit != Unlimited {
		wanted = min(wanted, limit)
	}
	e.Granted = max(e.Granted, wanted)
}

// Charge adds amount to the spent amount. A charge beyond the grant also raises the
// grant, so that the grant is never lower than the amount used.
func (e *Escrow) Charge(amount int) {
	e.Spent += amount
	e.Granted = max(e.Granted, e.Spent)
}

// Forfeit counts the whole grant as spent.
func (e *Escrow) Forfeit() {
	e.Spent = max(e.Spent, e.Granted)
}

// Settle lowers the grant to the spent amount. It must only be called while nothing
// is reserved.
func (e *Escrow) Settle() {
	e.Granted = e.Spent
}
