package home

import (
	"context"
	"strings"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

// eventCollector collects the events of an answer.
type eventCollector struct {
	events []structs.Event
	// disconnectAfter, when positive, is the number of events after which the reader
	// disconnects.
	disconnectAfter int
}

var errDisconnected = errors.New("reader disconnected")

func (c *eventCollector) sink(e structs.Event) error {
	c.events = append(c.events, e)
	if c.disconnectAfter > 0 && len(c.events) == c.disconnectAfter {
		return errDisconnected
	}
	return nil
}

func (c *eventCollector) done() bool { return len(c.events) > 0 && c.events[len(c.events)-1].Done }

// failure returns the error of the last event, or errDisconnected if the answer is
// incomplete.
func (c *eventCollector) failure() error {
	if c.done() && c.events[len(c.events)-1].Err != nil {
		return c.events[len(c.events)-1].Err
	}
	if !c.done() {
		return errDisconnected
	}
	return nil
}

func (c *eventCollector) text() string {
	var b strings.Builder
	for _, e := range c.events {
		b.WriteString(e.Text)
	}
	return b.String()
}

// runTurn runs a turn and checks that the answer is complete.
func runTurn(t require.TestingT, d *daemon, r structs.TurnRequest) *eventCollector {
	var c eventCollector
	require.NoError(t, d.Turn(context.Background(), r, c.sink))
	requireWhole(t, &c)
	return &c
}

// requireWhole checks that the events are numbered without gaps, belong to one run and
// end with Done.
func requireWhole(t require.TestingT, c *eventCollector) {
	require.NotEmpty(t, c.events)
	for i, e := range c.events {
		require.Equal(t, i+1, e.Seq)
		require.Equal(t, c.events[0].Run, e.Run)
		require.Equal(t, i == len(c.events)-1, e.Done)
		require.Nil(t, e.Err)
	}
}
