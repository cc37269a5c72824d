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

// statusLine is one daemon in the JSON form of status.
type statusLine struct {
	Daemon string           `json:"daemon"`
	Status *operator.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

// dumpLine is one daemon in the output of dump.
type dumpLine struct {
	Daemon string          `json:"daemon"`
	Dump   json.RawMessage `json:"dump,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// reportOutput is the JSON form of entry report.
type reportOutput struct {
	Entries []reportLine `json:"entries"`
	// Silent lists daemons whose shares are missing.
	Silent []string `json:"silent_daemons,omitempty"`
}

// encode writes message as indented JSON.
func (p printer) encode(message any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(message)
}

// note writes a line for people.
func (p printer) note(text string) {
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

// withVersion returns an entry in the form shown to operators.
func withVersion(entry structs.Entry) catalogue.SnapshotEntry {
	return catalogue.SnapshotEntry{Entry: entry, Version: entry.Version}
}

// entry shows one entry, always as JSON.
func (p printer) entry(entry structs.Entry) error {
	return p.encode(withVersion(entry))
}

// entries shows all entries.
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
		t.AppendRow(table.Row{e.Name, e.Owner, e.Class, e.Share, limit(e.MaxConcurrent), limit(e.MaxQueued), limit(e.RatePerSecond),
			stateOf(e), e.Version, e.ChangedAt.Format(time.RFC3339), e.Author})
	}
	t.Render()
	return nil
}

// limit shows a limit; 0 means unlimited.
func limit[T int | float64](value T) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprint(value)
}

// stateOf names the state of an entry.
func stateOf(entry structs.Entry) string {
	switch {
	case entry.Retired:
		return "retired"
	case entry.Baseline != nil:
		return "raised"
	default:
		return "in use"
	}
}

// status shows the daemons.
func (p printer) status(answers []answer[operator.Status]) error {
	if p.json {
		lines := make([]statusLine, len(answers))
		for i, a := range answers {
			lines[i] = statusLine{Daemon: a.daemon.Name}
			if a.err != nil {
				lines[i].Error = a.err.Error()
				continue
			}
			lines[i].Status = &answers[i].reply
		}
		return p.encode(lines)
	}
	t := p.table("daemon", "region", "data centre", "state", "catalogue revision")
	for _, a := range answers {
		if a.err != nil {
			t.AppendRow(table.Row{a.daemon.Name, a.daemon.Region, a.daemon.DataCentre, "no answer", ""})
			continue
		}
		t.AppendRow(table.Row{a.daemon.Name, a.daemon.Region, a.daemon.DataCentre, daemonState(a.reply), a.reply.CatalogueRevision})
	}
	t.Render()
	return nil
}

// daemonState names the state of a daemon that answered.
func daemonState(status operator.Status) string {
	if status.Leaving {
		return structs.StateLeaving
	}
	return structs.StateLive
}

// servers shows the backend servers.
func (p printer) servers(servers []structs.Server) error {
	if p.json {
		return p.encode(servers)
	}
	t := p.table("server", "kind", "serves", "region", "data centre", "state", "fencing numbers")
	for _, s := range servers {
		t.AppendRow(table.Row{s.Name, s.Kind, serves(s), s.Region, s.DataCentre, s.State, fencing(s)})
	}
	t.Render()
	return nil
}

// serves names the models of an engine, or a plain service.
func serves(server structs.Server) string {
	if server.Kind == structs.KindEngine {
		return strings.Join(server.Models, ", ")
	}
	return server.Service
}

// fencing says what an engine does with the fencing number of an order.
func fencing(server structs.Server) string {
	switch {
	case server.Kind != structs.KindEngine:
		return ""
	case server.Fences:
		return "checked"
	default:
		return "ignored"
	}
}

// order shows what became of an order.
func (p printer) order(result orderResult) error {
	if p.json {
		return p.encode(result)
	}
	t := p.table("engine", "order", "name", "verdict", "through daemon", "reason")
	t.AppendRow(table.Row{result.Engine, result.Kind, result.Name, result.Verdict, result.Daemon, result.Reason})
	t.Render()
	return nil
}

// dumps shows the state of daemons, always as JSON.
func (p printer) dumps(answers []answer[json.RawMessage]) error {
	lines := make([]dumpLine, len(answers))
	for i, a := range answers {
		lines[i] = dumpLine{Daemon: a.daemon.Name, Dump: a.reply}
		if a.err != nil {
			lines[i].Error = a.err.Error()
		}
	}
	return p.encode(lines)
}

// report shows raised limits and shares.
func (p printer) report(lines []reportLine, silent []string) error {
	if p.json {
		return p.encode(reportOutput{Entries: lines, Silent: silent})
	}
	p.note("Raised limits")
	raised := p.table("entry", "owner", "limits before", "limits now", "age", "by", "reason", "starves")
	for _, line := range lines {
		if r := line.Raised; r != nil {
			raised.AppendRow(table.Row{line.Entry, line.Owner, limits(r.EntryLimits), limits(r.Now),
				r.Age.Round(time.Second), r.RaisedBy, r.Baseline.Reason, strings.Join(r.Starves, ", ")})
		}
	}
	raised.Render()
	p.note("Shares")
	shares := p.table("entry", "owner", "granted tokens", "received tokens", "waiting", "starved")
	for _, line := range lines {
		shares.AppendRow(table.Row{line.Entry, line.Owner, int64(line.GrantedTokens), int64(line.ReceivedTokens), line.Waiting, line.Starved})
	}
	shares.Render()
	if len(silent) > 0 {
		p.note("Without an answer, so missing above: " + strings.Join(silent, ", "))
	}
	return nil
}

// limits shows limits on one line.
func limits(l structs.EntryLimits) string {
	return fmt.Sprintf("share %v, concurrent %s, queued %s, rate %s", l.Share, limit(l.MaxConcurrent), limit(l.MaxQueued), limit(l.RatePerSecond))
}
