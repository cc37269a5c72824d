package platform_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// section is a part of the operations page: its commands, each with the lines that it is
// said to print.
type section struct {
	title string
	steps []step
}

type step struct {
	command string
	lines   []string
}

// operationsPage reads the page's sections that have commands.
func operationsPage(t *testing.T) []section {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	var sections []section
	var block string
	for line := range strings.SplitSeq(string(text), "\n") {
		last := len(sections) - 1
		switch {
		case strings.HasPrefix(line, "## "):
			sections = append(sections, section{title: strings.TrimPrefix(line, "## ")})
		case strings.HasPrefix(line, "```"):
			block = strings.TrimPrefix(line, "```")
			if block == "sh" {
				sections[last].steps = append(sections[last].steps, step{})
			}
		case block == "sh":
			steps := sections[last].steps
			steps[len(steps)-1].command += line + "\n"
		case block == "text":
			steps := sections[last].steps
			steps[len(steps)-1].lines = append(steps[len(steps)-1].lines, line)
		}
	}
	return sections
}

// follow runs the commands of a section for a request and checks what they print.
func (w *world) follow(s section, request string) {
	for _, step := range s.steps {
		command := exec.Command("bash", "-c", step.command)
		command.Env = append(os.Environ(), "REQUEST="+request, "LOGS="+w.dir,
			"PATH="+binaries+string(os.PathListSeparator)+os.Getenv("PATH"))
		out, err := command.Output()
		require.NoError(w.t, err, step.command)
		for _, line := range step.lines {
			require.Regexp(w.t, pattern(line), string(out), "%s: %s", s.title, step.command)
		}
	}
}

// pattern makes a line of the page match one line of output; an ellipsis stands for any
// text.
func pattern(line string) *regexp.Regexp {
	parts := strings.Split(line, "…")
	for i, part := range parts {
		parts[i] = regexp.QuoteMeta(strings.TrimSpace(part))
	}
	return regexp.MustCompile(strings.Join(parts, ".*"))
}

// ended waits until a gateway has written that a request ended.
func (w *world) ended(request string) {
	w.until("the end of "+request+" is in a log", func() bool {
		for _, gateway := range gateways {
			text, err := os.ReadFile(filepath.Join(w.dir, gateway+".log"))
			require.NoError(w.t, err)
			for line := range strings.SplitSeq(string(text), "\n") {
				if strings.Contains(line, `"request ended"`) && strings.Contains(line, fmt.Sprintf("%q", request)) {
					return true
				}
			}
		}
		return false
	})
}

// TestOperationsPage makes each failure of the page happen and follows its steps.
func TestOperationsPage(t *testing.T) {
	w := newWorld(t)
	w.streams()
	failures := map[string]func() answer{
		"A request was refused with 503": func() answer {
			for _, name := range []string{"till-0", "till-1", "till-2"} {
				w.runners[name].Always(platformtest.Reply{NotExecuted: true})
			}
			got := w.call("gateway-0", http.MethodPost, "/redeem/1")
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			return got
		},
		"A stream broke off midway": func() answer {
			for _, name := range []string{"engine-0", "engine-1", "engine-2"} {
				w.runners[name].Script(func(run platformtest.Run) platformtest.Reply {
					if run.Header.Get("Last-Event-Id") != "" {
						return platformtest.Reply{Reset: true}
					}
					return platformtest.Reply{Events: []string{"one", "two"}, CutAfter: len("id: 1\ndata: one\n\n") + 3}
				})
			}
			got := w.call("gateway-1", http.MethodPost, "/turn/1")
			require.Zero(t, got.status)
			require.Equal(t, 1, got.events)
			return got
		},
		"A turn was answered with 402": func() answer {
			w.streams()
			var got answer
			for i := 0; got.status != http.StatusPaymentRequired; i++ {
				got = w.turn(gateways[i%3], "spender", 2*turnTokens)
				require.Less(t, i, 100)
			}
			return got
		},
	}
	w.until("the budgets have a home", func() bool { return w.turn("gateway-0", "first", 9*turnTokens).status == http.StatusOK })
	followed := 0
	for _, s := range operationsPage(t) {
		if fail, known := failures[s.title]; known {
			request := fail().id
			w.ended(request)
			w.follow(s, request)
			followed++
		}
	}
	require.Equal(t, len(failures), followed, "a failure is missing on the page")
}

// logOf returns the log of a daemon.
func (w *world) logOf(name string) string {
	text, err := os.ReadFile(filepath.Join(w.dir, name+".log"))
	require.NoError(w.t, err)
	return string(text)
}

// TestLogsTellStopsDisksAndTimeouts, which the incidents of docs/INCIDENTS.md needed.
func TestLogsTellStopsDisksAndTimeouts(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"till-0", "till-1", "till-2"} {
		w.runners[name].Always(platformtest.Reply{Silent: true})
	}
	impatient := func(r *http.Request) { r.Header.Set("Deadline-Ms", "100") }
	got := w.call("gateway-0", http.MethodPost, "/redeem/1", impatient)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	w.ended(got.id)
	require.Contains(t, w.logOf("gateway-0"), ":no answer in time")

	require.NoError(t, w.process("gateway-1").Stop(t.Context()))
	require.Contains(t, w.logOf("gateway-1"), `"planned stop begins"`)
	require.Contains(t, w.logOf("gateway-1"), `"work ended, stopping"`)

	require.Contains(t, w.logOf("keeper-0"), `"empty_disk":true`)
	w.restart("keeper-0")
	require.Contains(t, w.logOf("keeper-0"), `"empty_disk":false`)
}
