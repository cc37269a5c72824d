package platform_test

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// chat sends a turn that continues another one, or a first one, and returns the prompt that an engine
// received for it.
func (f *testFleet) chat(daemon, previous string) (answer, string) {
	got := f.call(daemon, http.MethodPost, "/chat/1", func(r *http.Request) {
		if previous != "" {
			r.Header.Set("Previous-Turn", previous)
		}
	})
	for _, server := range f.allServers() {
		for _, run := range server.Runs() {
			if run.ID == got.id {
				return got, run.Body
			}
		}
	}
	return got, ""
}

// TestConversationSurvivesLossOfDiskAndPower guards against turns that are lost with a disk while all
// processes end, and against turns that are wrongly said to exist or not to exist afterwards.
func TestConversationSurvivesLossOfDiskAndPower(t *testing.T) {
	f := newTestFleet(t)
	for _, server := range f.servers {
		server.Script(func(run platformtest.Run) platformtest.Reply {
			return platformtest.Reply{Events: []string{"says " + run.ID}}
		})
	}
	prompt, last := "", ""
	next := func(gateway string) {
		var got answer
		var received string
		f.waitUntil("a turn is served by "+gateway, func() bool {
			got, received = f.chat(gateway, last)
			require.NotEqual(f.t, http.StatusNotFound, got.status)
			return got.status == http.StatusOK
		})
		prompt += "body of " + got.id
		require.Equal(t, prompt, received)
		prompt += "says " + got.id + "\n"
		last = got.id
	}
	for _, gateway := range gateways {
		next(gateway)
	}
	for name := range f.daemons {
		f.kill(name)
	}
	require.NoError(t, os.RemoveAll(filepath.Join(f.dir, "keeper-1-data")))
	for name := range f.daemons {
		f.start(name)
	}
	for _, gateway := range gateways {
		next(gateway)
	}
	output, err := exec.Command(filepath.Join(binDir, "ibisctl"), "--json", "turn", last, f.daemons["keeper-0"].httpAddr,
		f.daemons["keeper-1"].httpAddr, f.daemons["keeper-2"].httpAddr).CombinedOutput()
	require.NoError(t, err, "%s", output)
	var shown struct{ Turns []struct{ Keepers []string } }
	require.NoError(t, json.Unmarshal(output, &shown))
	require.Len(t, shown.Turns, 2*len(gateways))
	for _, turn := range shown.Turns {
		require.GreaterOrEqual(t, len(turn.Keepers), 2, "%s", output)
	}
	f.waitUntil("an unknown turn is not found", func() bool {
		got, received := f.chat("gateway-0", "never")
		require.Empty(t, received)
		return got.status == http.StatusNotFound
	})
}
