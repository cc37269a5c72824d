package ctl

import (
	"context"
	"slices"
	"strings"
	"time"

	"ibisline/internal/structs"
)

// starvedBelow is the part of its granted service under which an entry with
// waiting requests counts as starved.
const starvedBelow = 0.9

// reportLine is the report on one entry.
type reportLine struct {
	Entry string `json:"entry"`
	Owner string `json:"owner"`
	// GrantedTokens is the service that the entry's share granted it at the
	// dispatchers where it had demand, and ReceivedTokens what it had.
	GrantedTokens  float64 `json:"granted_tokens"`
	ReceivedTokens float64 `json:"received_tokens"`
	Waiting        int     `json:"waiting"`
	Starved        bool    `json:"starved"`
	// Raised is set while a limit is above its baseline.
	Raised *raisedLine `json:"raised,omitempty"`
}

// raisedLine describes a raise that was not lowered again.
type raisedLine struct {
	structs.Baseline
	Now structs.EntryLimits `json:"now"`
	Age time.Duration       `json:"age_ns"`
	// Starves lists the starved entries while this one received more than it
	// would have been granted at its baseline share.
	Starves []string `json:"starves,omitempty"`
}

// report shows raised limits and shares.
func (c *command) report(ctx context.Context) error {
	entries, err := c.entries(ctx)
	if err != nil {
		return err
	}
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	answers := askAll[[]structs.ShareReport](ctx, c.daemons, instances, pathShares)
	var silent []string
	var shares [][]structs.ShareReport
	for _, a := range answers {
		if a.err != nil {
			silent = append(silent, a.daemon.Name)
			continue
		}
		shares = append(shares, a.reply)
	}
	return c.out.report(reportOn(entries, shares, c.now()), silent)
}

// reportOn joins the entries with the shares that each daemon reported.
func reportOn(entries []structs.Entry, shares [][]structs.ShareReport, now time.Time) []reportLine {
	lines := make([]reportLine, len(entries))
	index := make(map[string]int, len(entries))
	for i, entry := range entries {
		lines[i] = reportLine{Entry: entry.Name, Owner: entry.Owner}
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
			lines[i].GrantedTokens += s.Granted / weights * float64(total)
			lines[i].ReceivedTokens += float64(s.ReceivedTokens)
			lines[i].Waiting += s.Waiting
		}
	}
	for i := range lines {
		lines[i].Starved = lines[i].Waiting > 0 && lines[i].ReceivedTokens < starvedBelow*lines[i].GrantedTokens
	}
	addRaised(lines, entries, now)
	return lines
}

// addRaised fills in the raises that still hold and whom they starve. Entries
// that wait are starved by a raised share when it got more than its baseline
// share would have granted.
func addRaised(lines []reportLine, entries []structs.Entry, now time.Time) {
	for i, entry := range entries {
		if entry.Baseline == nil {
			continue
		}
		raised := &raisedLine{Baseline: *entry.Baseline, Now: entry.Limits(), Age: now.Sub(entry.Baseline.RaisedAt)}
		granted := lines[i].GrantedTokens * entry.Baseline.Share / entry.Share
		if lines[i].ReceivedTokens > granted {
			raised.Starves = waitingOthers(lines, i)
		}
		lines[i].Raised = raised
	}
}

// waitingOthers returns the other owners' entries with waiting requests.
func waitingOthers(lines []reportLine, self int) []string {
	var names []string
	for _, line := range lines {
		if line.Waiting > 0 && line.Owner != lines[self].Owner {
			names = append(names, line.Entry)
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names
}
