// Package budget does the arithmetic of a program's budget. A budget is held in
// escrow: a durable record grants a part of it, and spending inside the grant
// needs no write.
package budget

// Escrow is the durable part of one budget, in tokens or calls.
type Escrow struct {
	// Granted is what may be spent until the next write. Whoever takes over
	// without a clean hand-over counts all of it as spent.
	Granted int `msgpack:"g,omitempty"`
	// Spent is what was charged when the record was written.
	Spent int `msgpack:"s,omitempty"`
}

// Unlimited is the limit that means "no limit", as in a catalogue entry.
const Unlimited = 0

// Left returns what a limit leaves beside the spent and reserved amounts. It is
// never negative. The result means nothing for Unlimited.
func (e Escrow) Left(limit, reserved int) int {
	return max(0, limit-e.Spent-reserved)
}

// Extend raises the grant so that it covers amount and then headroom, as far as
// limit allows. It never lowers the grant.
func (e *Escrow) Extend(limit, reserved, amount, headroom int) {
	wanted := e.Spent + reserved + amount + headroom
	if limit != Unlimited {
		wanted = min(wanted, limit)
	}
	e.Granted = max(e.Granted, wanted)
}

// Charge adds amount to what was spent. A charge beyond the grant raises the
// grant too, so that the record never claims less than was used.
func (e *Escrow) Charge(amount int) {
	e.Spent += amount
	e.Granted = max(e.Granted, e.Spent)
}

// Forfeit counts the whole grant as spent.
func (e *Escrow) Forfeit() {
	e.Spent = max(e.Spent, e.Granted)
}

// Settle gives back the unspent part of the grant. It is valid only while
// nothing is reserved.
func (e *Escrow) Settle() {
	e.Granted = e.Spent
}
