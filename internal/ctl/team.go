package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"ibisline/internal/gateway"
	"ibisline/internal/structs"
)

// pathTeams is the path at which a gateway reports its teams.
const pathTeams = "/v1/teams"

// teamRow is a team over all gateways that answered.
type teamRow struct {
	Team      string  `json:"team"`
	Priority  int     `json:"priority"`
	PerSecond float64 `json:"per_second,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// AdmittedPerSecond is the sum of the rates at which gateways have admitted its requests lately.
	AdmittedPerSecond float64 `json:"admitted_per_second"`
	// Tight is set if some gateway needs a permit for each request, and ProgramsAdmitted is the lowest
	// fraction of its programs that runs at a gateway.
	Tight            bool    `json:"tight"`
	ProgramsAdmitted float64 `json:"programs_admitted"`
	// Left is what the issuer has left of the quota, nil if no issuer answered.
	Left    *float64         `json:"left,omitempty"`
	Served  int64            `json:"served"`
	Failed  int64            `json:"failed"`
	Refused map[string]int64 `json:"refused,omitempty"`
}

// teamOutput is the JSON output of team.
type teamOutput struct {
	Teams []teamRow `json:"teams"`
	// OldestProofSeconds is the age of the oldest proof that a configuration is the newest one, and
	// Unproven lists the gateways without a proof.
	OldestProofSeconds float64  `json:"oldest_proof_seconds"`
	Unproven           []string `json:"unproven,omitempty"`
	// Unreachable lists the gateways that did not answer, whose counts are missing.
	Unreachable []string `json:"silent_daemons,omitempty"`
}

// team prints teams with their use of quotas over all gateways.
func (c *command) team(ctx context.Context, names []string) error {
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	instances = slices.DeleteFunc(instances, func(i structs.Instance) bool { return i.Duty != structs.DutyGateway })
	output := mergeTeams(queryAll[gateway.TeamReport](ctx, c.daemons, instances, pathTeams))
	if len(names) > 0 {
		output.Teams = slices.DeleteFunc(output.Teams, func(row teamRow) bool { return !slices.Contains(names, row.Team) })
	}
	return c.out.teams(output)
}

// mergeTeams sums the reports of gateways by team.
func mergeTeams(replies []daemonReply[gateway.TeamReport]) teamOutput {
	output := teamOutput{Teams: []teamRow{}}
	rows := map[string]*teamRow{}
	for _, reply := range replies {
		switch {
		case reply.err != nil:
			output.Unreachable = append(output.Unreachable, reply.daemon.Name)
			continue
		case reply.value.ProofSeconds < 0:
			output.Unproven = append(output.Unproven, reply.daemon.Name)
		default:
			output.OldestProofSeconds = max(output.OldestProofSeconds, reply.value.ProofSeconds)
		}
		for _, team := range reply.value.Teams {
			row := rows[team.Team]
			if row == nil {
				row = &teamRow{Team: team.Team, ProgramsAdmitted: 1, Refused: map[string]int64{}}
				rows[team.Team] = row
			}
			row.add(team)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		output.Teams = append(output.Teams, *rows[name])
	}
	return output
}

// add includes what one gateway knows of the team.
func (r *teamRow) add(team gateway.TeamStatus) {
	r.Priority, r.PerSecond, r.Burst = team.Priority, team.PerSecond, team.Burst
	r.Served += team.Served
	r.Failed += team.Failed
	for reason, n := range team.Refused {
		r.Refused[reason] += n
	}
	if q := team.Quota; q != nil {
		r.AdmittedPerSecond += q.PerSecond
		r.Tight = r.Tight || q.Tight
		r.ProgramsAdmitted = min(r.ProgramsAdmitted, q.Fraction)
		if q.Left != nil {
			r.Left = q.Left
		}
	}
}

// teams prints the output of team.
func (p printer) teams(output teamOutput) error {
	if p.json {
		return p.encode(output)
	}
	t := p.table("team", "priority", "quota/s", "burst", "admitted/s", "left", "programs admitted", "served", "failed", "refused")
	for _, row := range output.Teams {
		left := ""
		if row.Left != nil {
			left = fmt.Sprintf("%.0f", *row.Left)
		}
		var refused []string
		for _, reason := range slices.Sorted(maps.Keys(row.Refused)) {
			refused = append(refused, fmt.Sprintf("%s %d", reason, row.Refused[reason]))
		}
		t.AppendRow(table.Row{
			row.Team, row.Priority, row.PerSecond, row.Burst, fmt.Sprintf("%.1f", row.AdmittedPerSecond), left,
			fmt.Sprintf("%.2f", row.ProgramsAdmitted), row.Served, row.Failed, strings.Join(refused, ", "),
		})
	}
	t.Render()
	p.printLine(fmt.Sprintf("oldest proof of the configuration: %.1f s", output.OldestProofSeconds))
	if len(output.Unproven) > 0 {
		p.printLine("without a proof: " + strings.Join(output.Unproven, ", "))
	}
	if len(output.Unreachable) > 0 {
		p.printLine("no answer: " + strings.Join(output.Unreachable, ", "))
	}
	return nil
}
