package ctl

import (
	"math"
	"time"

	"ibisline/internal/structs"
)

// editMetadata records who edits an entry, when and why.
type editMetadata struct {
	author string
	reason string
	at     time.Time
}

// prepareEdit returns edited with the metadata of the edit and with its baseline,
// which is derived from the entry that it replaces. current is nil for a new entry.
func prepareEdit(current *structs.Entry, edited structs.Entry, m editMetadata) structs.Entry {
	edited.Author = m.author
	edited.Reason = m.reason
	edited.ChangedAt = m.at
	edited.Baseline = nil
	if current == nil {
		return edited
	}
	edited.Baseline = baseline(*current, edited.Limits(), m)
	return edited
}

// baseline returns the limits before the first raise that is still in effect. It is
// kept while any limit exceeds it, and removed once all limits are at or below it.
func baseline(current structs.Entry, limits structs.EntryLimits, m editMetadata) *structs.Baseline {
	if current.Baseline != nil && exceeds(limits, current.Baseline.EntryLimits) {
		return current.Baseline
	}
	if current.Baseline == nil && exceeds(limits, current.Limits()) {
		return &structs.Baseline{
			EntryLimits: current.Limits(),
			RaisedAt:    m.at,
			RaisedBy:    m.author,
			Reason:      m.reason,
		}
	}
	return nil
}

// exceeds reports whether any of the limits is above its counterpart in other.
func exceeds(limits, other structs.EntryLimits) bool {
	return limits.Share > other.Share ||
		asBound(limits.MaxConcurrent) > asBound(other.MaxConcurrent) ||
		asBound(limits.MaxQueued) > asBound(other.MaxQueued) ||
		asBound(limits.RatePerSecond) > asBound(other.RatePerSecond)
}

// asBound converts a limit to a value that can be compared: 0 means unlimited.
func asBound[T int | float64](limit T) float64 {
	if limit == 0 {
		return math.Inf(1)
	}
	return float64(limit)
}

// apply sets the limits for which a flag was given.
func (f LimitFlags) apply(entry *structs.Entry) {
	assign(&entry.Share, f.Share)
	assign(&entry.MaxConcurrent, f.MaxConcurrent)
	assign(&entry.MaxQueued, f.MaxQueued)
	assign(&entry.RatePerSecond, f.RatePerSecond)
}

// apply sets the fields for which a flag was given.
func (a *PutArgs) apply(entry *structs.Entry) {
	assign(&entry.Owner, a.Owner)
	assign(&entry.Class, a.Class)
	assign(&entry.BudgetTokens, a.BudgetTokens)
	assign(&entry.BudgetTurns, a.BudgetTurns)
	assign(&entry.BudgetCalls, a.BudgetCalls)
	assign(&entry.IdleSeconds, a.IdleSeconds)
	a.LimitFlags.apply(entry)
	if a.Restore {
		entry.Retired = false
	}
}

// assign copies *value to *field unless value is nil.
func assign[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}
