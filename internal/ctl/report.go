package ctl

import (
	"context"
	"slices"
	"strings"
	"time"

	"ibisline/internal/structs"
)

// starvedBelowShare is the fraction of its granted tokens below which an entry with
// waiting requests counts as starved.
const starvedBelowShare = 0.9

// reportRow is the report on one entry.
type reportRow struct {
	Entry string `json:"entry"`
	Owner string `json:"owner"`
	// GrantedTokens is the service that the entry was entitled to by its share at the
	// dispatchers where it had demand, and ReceivedTokens the service that it received.
	GrantedTokens  float64 `json:"granted_tokens"`
	ReceivedTokens float64 `json:"received_tokens"`
	Waiting        int     `json:"waiting"`
	Starved        bool    `json:"starved"`
	// Raised is set while any limit is above its baseline.
	Raised *raisedLimits `json:"raised,omitempty"`
}

// raisedLimits describes limits that are still above their baseline.
type raisedLimits struct {
	structs.Baseline
	Now structs.EntryLimits `json:"now"`
	Age time.Duration       `json:"age_ns"`
	// Starves lists the entries of other owners with waiting requests, provided that
	// this entry received more than its baseline share would have granted.
	Starves []string `json:"starves,omitempty"`
}

// report prints raised limits and shares.
func (c *command) report(ctx context.Context) error {
	entries, err := c.entries(ctx)
	if err != nil {
		return err
	}
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	replies := queryAll[[]structs.ShareReport](ctx, c.daemons, instances, pathShares)
	var unreachable []string
	var shares [][]structs.ShareReport
	for _, reply := range replies {
		if reply.err != nil {
			unreachable = append(unreachable, reply.daemon.Name)
			continue
		}
		shares = append(shares, reply.value)
	}
	return c.out.report(buildReport(entries, shares, c.now()), unreachable)
}

// buildReport combines the entries with the shares that each daemon reported.
func buildReport(entries []structs.Entry, shares [][]structs.ShareReport, now time.Time) []reportRow {
	rows := make([]reportRow, len(entries))
	index := make(map[string]int, len(entries))
	for i, entry := range entries {
		rows[i] = reportRow{Entry: entry.Name, Owner: entry.Owner}
		index[entry.Name] = i
	}
	for _, daemon := range shares {
		total, weights := 0, 0.0
		for _, s := range daemon {
			total += s.ReceivedTokens
			weights += s.Granted
		}
		if weights == 0 {
			continue
		}
		for _, s := range daemon {
			i, ok := index[s.Entry]
			if !ok {
				continue
			}
			rows[i].GrantedTokens += s.Granted / weights * float64(total)
			rows[i].ReceivedTokens += float64(s.ReceivedTokens)
			rows[i].Waiting += s.Waiting
		}
	}
	for i := range rows {
		rows[i].Starved = rows[i].Waiting > 0 && rows[i].ReceivedTokens < starvedBelowShare*rows[i].GrantedTokens
	}
	addRaised(rows, entries, now)
	return rows
}

// addRaised adds the limits that are still raised and the entries that they starve.
// A raised entry starves the waiting entries of other owners when it received more
// tokens than its baseline share would have granted.
func addRaised(rows []reportRow, entries []structs.Entry, now time.Time) {
	for i, entry := range entries {
		if entry.Baseline == nil {
			continue
		}
		raised := &raisedLimits{Baseline: *entry.Baseline, Now: entry.Limits(), Age: now.Sub(entry.Baseline.RaisedAt)}
		baselineTokens := rows[i].GrantedTokens * entry.Baseline.Share / entry.Share
		if rows[i].ReceivedTokens > baselineTokens {
			raised.Starves = waitingOfOtherOwners(rows, i)
		}
		rows[i].Raised = raised
	}
}

// waitingOfOtherOwners returns the names of the entries with waiting requests that
// belong to other owners than rows[self].
func waitingOfOtherOwners(rows []reportRow, self int) []string {
	var names []string
	for _, row := range rows {
		if row.Waiting > 0 && row.Owner != rows[self].Owner {
			names = append(names, row.Entry)
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names
}
