package ctl

import (
	"math"
	"time"

	"ibisline/internal/structs"
)

// stamp describes who edits an entry, when and why.
type stamp struct {
	author string
	reason string
	at     time.Time
}

// amend returns edited as the successor of held, with its stamp and its baseline.
// held is nil for a new entry.
func amend(held *structs.Entry, edited structs.Entry, s stamp) structs.Entry {
	edited.Author = s.author
	edited.Reason = s.reason
	edited.ChangedAt = s.at
	edited.Baseline = nil
	if held == nil {
		return edited
	}
	edited.Baseline = baseline(*held, edited.Limits(), s)
	return edited
}

// baseline returns the limits before the first raise that still holds. A raise
// over the baseline keeps it; limits back at or under it end it.
func baseline(held structs.Entry, limits structs.EntryLimits, s stamp) *structs.Baseline {
	if held.Baseline != nil && exceeds(limits, held.Baseline.EntryLimits) {
		return held.Baseline
	}
	if held.Baseline == nil && exceeds(limits, held.Limits()) {
		return &structs.Baseline{
			EntryLimits: held.Limits(),
			RaisedAt:    s.at,
			RaisedBy:    s.author,
			Reason:      s.reason,
		}
	}
	return nil
}

// exceeds reports whether any of the limits is above the other ones.
func exceeds(limits, other structs.EntryLimits) bool {
	return limits.Share > other.Share ||
		bound(limits.MaxConcurrent) > bound(other.MaxConcurrent) ||
		bound(limits.MaxQueued) > bound(other.MaxQueued) ||
		bound(limits.RatePerSecond) > bound(other.RatePerSecond)
}

// bound makes limits comparable: 0 means unlimited.
func bound[T int | float64](limit T) float64 {
	if limit == 0 {
		return math.Inf(1)
	}
	return float64(limit)
}

// set changes the limits for which a flag was given.
func (f LimitFlags) set(entry *structs.Entry) {
	assign(&entry.Share, f.Share)
	assign(&entry.MaxConcurrent, f.MaxConcurrent)
	assign(&entry.MaxQueued, f.MaxQueued)
	assign(&entry.RatePerSecond, f.RatePerSecond)
}

// set changes the fields for which a flag was given.
func (a *PutArgs) set(entry *structs.Entry) {
	assign(&entry.Owner, a.Owner)
	assign(&entry.Class, a.Class)
	assign(&entry.BudgetTokens, a.BudgetTokens)
	assign(&entry.BudgetTurns, a.BudgetTurns)
	assign(&entry.BudgetCalls, a.BudgetCalls)
	assign(&entry.IdleSeconds, a.IdleSeconds)
	a.LimitFlags.set(entry)
	if a.Restore {
		entry.Retired = false
	}
}

// assign copies a value that was given.
func assign[T any](field *T, given *T) {
	if given != nil {
		*field = *given
	}
}
