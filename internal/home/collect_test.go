package home

import (
	"context"
	"strings"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

// collect gathers the events of an answer.
type collect struct {
	events []structs.Event
	// leaveAfter, when positive, is the number of events after which the reader
	// leaves.
	leaveAfter int
}

var errLeft = errors.New("reader left")

func (c *collect) sink(e structs.Event) error {
	c.events = append(c.events, e)
	if c.leaveAfter > 0 && len(c.events) == c.leaveAfter {
		return errLeft
	}
	return nil
}

func (c *collect) done() bool { return len(c.events) > 0 && c.events[len(c.events)-1].Done }

// failure is the error in the last event.
func (c *collect) failure() error {
	if c.done() && c.events[len(c.events)-1].Err != nil {
		return c.events[len(c.events)-1].Err
	}
	if !c.done() {
		return errLeft
	}
	return nil
}

func (c *collect) text() string {
	var b strings.Builder
	for _, e := range c.events {
		b.WriteString(e.Text)
	}
	return b.String()
}

// runTurn runs a turn and checks that the answer is whole.
func runTurn(t require.TestingT, d *daemon, r structs.TurnRequest) *collect {
	var c collect
	require.NoError(t, d.Turn(context.Background(), r, c.sink))
	requireWhole(t, &c)
	return &c
}

// requireWhole checks that events are numbered without gaps, come from one run
// and end with Done.
func requireWhole(t require.TestingT, c *collect) {
	require.NotEmpty(t, c.events)
	for i, e := range c.events {
		require.Equal(t, i+1, e.Seq)
		require.Equal(t, c.events[0].Run, e.Run)
		require.Equal(t, i == len(c.events)-1, e.Done)
		require.Nil(t, e.Err)
	}
}
