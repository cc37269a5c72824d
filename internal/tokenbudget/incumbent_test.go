package tokenbudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/tokenbudget/journal"
)

// Guards against a home being replaced because it is slow, and against one that is cut off
// being kept because it still writes what it had decided before.
func TestIncumbentWatch(t *testing.T) {
	const poll = 170 * time.Millisecond
	stored := func(decisions int64) incumbent {
		return incumbent{home: "h", activity: activity{fence: journal.Fence{Number: 2, Home: "h"}, decisions: decisions}}
	}
	claimed := stored(0)
	claimed.claiming = true
	other := incumbent{home: "o", activity: activity{fence: journal.Fence{Number: 3, Home: "o"}}}
	for _, c := range []struct {
		name    string
		first   incumbent
		answers []string
		present []incumbent
		want    standing
		polls   int
	}{
		{"decides", stored(1), []string{answerHolds}, nil, decides, 1},
		{"does not decide", stored(1), []string{answerHoldsNot}, nil, replaceable, 1},
		{"silent", stored(1), nil, nil, replaceable, 3},
		{"silent after its claim", claimed, nil, nil, replaceable, 5},
		{"no process", stored(1), []string{answerRefused, answerRefused}, nil, replaceable, 2},
		{"one refused connection", stored(1), []string{answerRefused, answerHolds}, nil, decides, 2},
		{"slow but at work", stored(1), nil, []incumbent{stored(1), stored(4), stored(4), stored(9)}, decides, 4},
		{"cut off after a last write", stored(1), nil, []incumbent{stored(2), stored(2), stored(2), stored(2)}, replaceable, 4},
		{"writes after its claim", claimed, nil, []incumbent{claimed, claimed, stored(3), stored(5)}, decides, 4},
		{"replaced meanwhile", stored(1), nil, []incumbent{other}, replaceable, 1},
	} {
		now := time.Unix(1_700_000_000, 0)
		w := newIncumbentWatch(Config{}.withDefaults(), c.first, now)
		polls := 0
		for ; w.standing == unknown; polls++ {
			now = now.Add(poll)
			answer, present := answerNone, w.known
			if polls < len(c.answers) {
				answer = c.answers[polls]
			}
			if polls < len(c.present) {
				present = c.present[polls]
			}
			w.observeAnswer(answer)
			if w.standing == unknown {
				w.observePresent(present, now)
				w.checkSilence(now)
			}
		}
		require.Equal(t, c.want, w.standing, c.name)
		require.Equal(t, c.polls, polls, c.name)
	}
}
