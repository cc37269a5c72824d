package ctl

import (
	"context"
	"net/url"
	"slices"
	"strings"
	"time"

	"ibisline/internal/history"
	"ibisline/internal/structs"
)

// turnRow is one turn of a conversation in the output of turn.
type turnRow struct {
	history.TurnInfo
	// Keepers are those that hold the turn.
	Keepers []string `json:"keepers"`
}

// turnOutput is the JSON output of turn.
type turnOutput struct {
	Turns []turnRow `json:"turns"`
	// Incomplete lists keepers that lost their disk and have not restored their turns, Unreachable
	// those that did not answer.
	Incomplete  []string `json:"incomplete_keepers,omitempty"`
	Unreachable []string `json:"silent_keepers,omitempty"`
}

// turn prints a turn and the turns before it, oldest first, with the keepers that hold each.
func (c *command) turn(ctx context.Context, args *TurnArgs) error {
	id := args.ID
	keepers, err := c.keepers(ctx, args.Keepers)
	if err != nil {
		return err
	}
	var output turnOutput
	rows := map[string]*turnRow{}
	var order []string
	for _, reply := range queryAll[history.ChainInfo](ctx, c.daemons, keepers, pathTurns+url.PathEscape(id)) {
		if reply.err != nil {
			output.Unreachable = append(output.Unreachable, reply.daemon.Name)
			continue
		}
		if !reply.value.Complete {
			output.Incomplete = append(output.Incomplete, reply.daemon.Name)
		}
		for _, turn := range reply.value.Turns {
			row := rows[turn.ID]
			if row == nil {
				row = &turnRow{TurnInfo: turn}
				rows[turn.ID] = row
				order = append(order, turn.ID)
			}
			row.Keepers = append(row.Keepers, reply.daemon.Name)
		}
	}
	for _, turn := range order {
		output.Turns = append(output.Turns, *rows[turn])
	}
	if err := c.out.turns(output); err != nil {
		return err
	}
	if len(order) == 0 {
		return newFailure(ExitNotFound, "no keeper that answered holds turn %q", id)
	}
	return nil
}

// keepers returns the keepers at the given addresses, or those registered with the platform if there
// are none.
func (c *command) keepers(ctx context.Context, addrs []string) ([]structs.Instance, error) {
	if len(addrs) > 0 {
		return selectInstances(nil, addrs)
	}
	registered, err := c.daemons.list(ctx)
	return slices.DeleteFunc(registered, func(i structs.Instance) bool { return i.Duty != structs.DutyKeeper }), err
}

// turns prints the output of turn.
func (p printer) turns(output turnOutput) error {
	if p.json {
		return p.encode(output)
	}
	t := p.table("turn", "continues", "input bytes", "output bytes", "kept until", "keepers")
	for _, row := range output.Turns {
		t.AppendRow([]any{
			row.ID, row.Previous, row.InputBytes, row.OutputBytes, row.Expires.UTC().Format(time.RFC3339), strings.Join(row.Keepers, ", "),
		})
	}
	t.Render()
	for text, names := range map[string][]string{"not restored yet": output.Incomplete, "no answer from": output.Unreachable} {
		if len(names) > 0 {
			p.printLine(text + ": " + strings.Join(names, ", "))
		}
	}
	return nil
}
