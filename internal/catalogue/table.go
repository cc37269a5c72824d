package catalogue

import (
	"ibisline/internal/replica"
	"ibisline/internal/structs"
)

// Instances of the replica types for catalogue entries.
type (
	change = replica.Change[structs.Entry]
	batch  = replica.Batch[structs.Entry]
	table  = replica.Table[structs.Entry]
)

// newTable returns an empty table.
func newTable() *table { return replica.NewTable[structs.Entry]() }

// changesOf converts entries to changes.
func changesOf(entries []*structs.Entry) []change {
	changes := make([]change, len(entries))
	for i, entry := range entries {
		changes[i] = change{Name: entry.Name, Version: entry.Version, Value: entry}
	}
	return changes
}

// entriesOf returns the entries in changes of a snapshot.
func entriesOf(held []change) []*structs.Entry {
	entries := make([]*structs.Entry, len(held))
	for i, c := range held {
		entries[i] = c.Value
	}
	return entries
}
