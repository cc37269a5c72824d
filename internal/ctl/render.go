package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ibisline/internal/catalogue"
	"ibisline/internal/operator"
	"ibisline/internal/structs"
)

// printer writes results as tables or as JSON.
type printer struct {
	out  io.Writer
	json bool
}

// statusRow is one daemon in the JSON output of status.
type statusRow struct {
	Daemon string           `json:"daemon"`
	Status *operator.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

// dumpRow is one daemon in the output of dump.
type dumpRow struct {
	Daemon string          `json:"daemon"`
	Dump   json.RawMessage `json:"dump,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// reportOutput is the JSON output of entry report.
type reportOutput struct {
	Entries []reportRow `json:"entries"`
	// Unreachable lists daemons that did not answer, so that their shares are missing.
	Unreachable []string `json:"silent_daemons,omitempty"`
}

// encode writes value as indented JSON.
func (p printer) encode(value any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printLine writes a line of text, unless the output is JSON.
func (p printer) printLine(text string) {
	if !p.json {
		fmt.Fprintln(p.out, text)
	}
}

// table returns a table with a header.
func (p printer) table(header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(p.out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row(header))
	return t
}

// withVersion returns an entry in the form shown to operators, with its version.
func withVersion(entry structs.Entry) catalogue.SnapshotEntry {
	return catalogue.SnapshotEntry{Entry: entry, Version: entry.Version}
}

// entry prints one entry, always as JSON.
func (p printer) entry(entry structs.Entry) error {
	return p.encode(withVersion(entry))
}

// entries prints all entries.
func (p printer) entries(entries []structs.Entry) error {
	if p.json {
		shown := make([]catalogue.SnapshotEntry, len(entries))
		for i, entry := range entries {
			shown[i] = withVersion(entry)
		}
		return p.encode(shown)
	}
	t := p.table("entry", "owner", "class", "share", "concurrent", "queued", "rate/s", "state", "version", "changed", "by")
	for _, e := range entries {
		t.AppendRow(table.Row{e.Name, e.Owner, e.Class, e.Share,
			formatLimit(e.MaxConcurrent), formatLimit(e.MaxQueued), formatLimit(e.RatePerSecond),
			entryState(e), e.Version, e.ChangedAt.Format(time.RFC3339), e.Author})
	}
	t.Render()
	return nil
}

// formatLimit formats a limit; 0 means unlimited and is shown as "-".
func formatLimit[T int | float64](value T) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprint(value)
}

// entryState returns the displayed state of an entry.
func entryState(entry structs.Entry) string {
	switch {
	case entry.Retired:
		return "retired"
	case entry.Baseline != nil:
		return "raised"
	default:
		return "in use"
	}
}

// status prints the status of daemons.
func (p printer) status(replies []daemonReply[operator.Status]) error {
	if p.json {
		rows := make([]statusRow, len(replies))
		for i, reply := range replies {
			rows[i] = statusRow{Daemon: reply.daemon.Name}
			if reply.err != nil {
				rows[i].Error = reply.err.Error()
				continue
			}
			rows[i].Status = &replies[i].value
		}
		return p.encode(rows)
	}
	t := p.table("daemon", "region", "data centre", "state", "catalogue revision")
	for _, reply := range replies {
		if reply.err != nil {
			t.AppendRow(table.Row{reply.daemon.Name, reply.daemon.Region, reply.daemon.DataCentre, "no answer", ""})
			continue
		}
		t.AppendRow(table.Row{reply.daemon.Name, reply.daemon.Region, reply.daemon.DataCentre,
			daemonState(reply.value), reply.value.CatalogueRevision})
	}
	t.Render()
	return nil
}

// daemonState returns the displayed state of a daemon that answered.
func daemonState(status operator.Status) string {
	if status.Leaving {
		return structs.StateLeaving
	}
	return structs.StateLive
}

// servers prints the backend servers.
func (p printer) servers(servers []structs.Server) error {
	if p.json {
		return p.encode(servers)
	}
	t := p.table("server", "kind", "serves", "region", "data centre", "state", "fencing numbers")
	for _, s := range servers {
		t.AppendRow(table.Row{s.Name, s.Kind, servedNames(s), s.Region, s.DataCentre, s.State, fencingMode(s)})
	}
	t.Render()
	return nil
}

// servedNames returns the models of an engine, or the name of a plain service.
func servedNames(server structs.Server) string {
	if server.Kind == structs.KindEngine {
		return strings.Join(server.Models, ", ")
	}
	return server.Service
}

// fencingMode returns whether an engine checks or ignores the fencing number of an
// order, or "" for a plain service.
func fencingMode(server structs.Server) string {
	switch {
	case server.Kind != structs.KindEngine:
		return ""
	case server.Fences:
		return "checked"
	default:
		return "ignored"
	}
}

// order prints the outcome of an order.
func (p printer) order(result orderResult) error {
	if p.json {
		return p.encode(result)
	}
	t := p.table("engine", "order", "name", "verdict", "through daemon", "reason")
	t.AppendRow(table.Row{result.Engine, result.Kind, result.Name, result.Verdict, result.Daemon, result.Reason})
	t.Render()
	return nil
}

// dumps prints the state of daemons, always as JSON.
func (p printer) dumps(replies []daemonReply[json.RawMessage]) error {
	rows := make([]dumpRow, len(replies))
	for i, reply := range replies {
		rows[i] = dumpRow{Daemon: reply.daemon.Name, Dump: reply.value}
		if reply.err != nil {
			rows[i].Error = reply.err.Error()
		}
	}
	return p.encode(rows)
}

// report prints raised limits and shares.
func (p printer) report(rows []reportRow, unreachable []string) error {
	if p.json {
		return p.encode(reportOutput{Entries: rows, Unreachable: unreachable})
	}
	p.printLine("Raised limits")
	raisedTable := p.table("entry", "owner", "limits before", "limits now", "age", "by", "reason", "starves")
	for _, row := range rows {
		if r := row.Raised; r != nil {
			raisedTable.AppendRow(table.Row{row.Entry, row.Owner, formatLimits(r.EntryLimits), formatLimits(r.Now),
				r.Age.Round(time.Second), r.RaisedBy, r.Baseline.Reason, strings.Join(r.Starves, ", ")})
		}
	}
	raisedTable.Render()
	p.printLine("Shares")
	sharesTable := p.table("entry", "owner", "granted tokens", "received tokens", "waiting", "starved")
	for _, row := range rows {
		sharesTable.AppendRow(table.Row{row.Entry, row.Owner,
			int64(row.GrantedTokens), int64(row.ReceivedTokens), row.Waiting, row.Starved})
	}
	sharesTable.Render()
	if len(unreachable) > 0 {
		p.printLine("No answer from these daemons, their shares are missing above: " + strings.Join(unreachable, ", "))
	}
	return nil
}

// formatLimits formats limits on one line.
func formatLimits(l structs.EntryLimits) string {
	return fmt.Sprintf("share %v, concurrent %s, queued %s, rate %s",
		l.Share, formatLimit(l.MaxConcurrent), formatLimit(l.MaxQueued), formatLimit(l.RatePerSecond))
}
