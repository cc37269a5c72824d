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

// pageSection is a section of docs/OPERATIONS.md. Each of its steps has a shell command
// and the lines that the command must print.
type pageSection struct {
	title string
	steps []pageStep
}

type pageStep struct {
	command     string
	outputLines []string
}

// operationsPage reads the sections of docs/OPERATIONS.md.
func operationsPage(t *testing.T) []pageSection {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	var sections []pageSection
	var block string
	for line := range strings.SplitSeq(string(text), "\n") {
		last := len(sections) - 1
		switch {
		case strings.HasPrefix(line, "## "):
			sections = append(sections, pageSection{title: strings.TrimPrefix(line, "## ")})
		case strings.HasPrefix(line, "```"):
			block = strings.TrimPrefix(line, "```")
			if block == "sh" {
				sections[last].steps = append(sections[last].steps, pageStep{})
			}
		case block == "sh":
			steps := sections[last].steps
			steps[len(steps)-1].command += line + "\n"
		case block == "text":
			steps := sections[last].steps
			steps[len(steps)-1].outputLines = append(steps[len(steps)-1].outputLines, line)
		}
	}
	return sections
}

// runSteps runs the commands of a section for a request and checks their output.
func (f *testFleet) runSteps(s pageSection, request string) {
	for _, step := range s.steps {
		command := exec.Command("bash", "-c", step.command)
		command.Env = append(os.Environ(), "REQUEST="+request, "LOGS="+f.dir,
			"PATH="+binDir+string(os.PathListSeparator)+os.Getenv("PATH"))
		out, err := command.Output()
		require.NoError(f.t, err, step.command)
		for _, line := range step.outputLines {
			require.Regexp(f.t, linePattern(line), string(out), "%s: %s", s.title, step.command)
		}
	}
}

// linePattern returns a pattern for one line of output. An ellipsis in the line of the page
// matches any text.
func linePattern(line string) *regexp.Regexp {
	parts := strings.Split(line, "…")
	for i, part := range parts {
		parts[i] = regexp.QuoteMeta(strings.TrimSpace(part))
	}
	return regexp.MustCompile(strings.Join(parts, ".*"))
}

// waitRequestEnded waits until the log of a gateway reports the end of a request.
func (f *testFleet) waitRequestEnded(request string) {
	f.waitUntil("the end of "+request+" is logged", func() bool {
		for _, gateway := range gateways {
			text, err := os.ReadFile(filepath.Join(f.dir, gateway+".log"))
			require.NoError(f.t, err)
			for line := range strings.SplitSeq(string(text), "\n") {
				if strings.Contains(line, `"request ended"`) && strings.Contains(line, fmt.Sprintf("%q", request)) {
					return true
				}
			}
		}
		return false
	})
}

// TestOperationsPage causes each failure that docs/OPERATIONS.md describes and runs the
// commands given for it.
func TestOperationsPage(t *testing.T) {
	f := newTestFleet(t)
	f.scriptEngines()
	failures := map[string]func() answer{
		"A request was refused with 503": func() answer {
			for _, name := range []string{"till-0", "till-1", "till-2"} {
				f.servers[name].Always(platformtest.Reply{NotExecuted: true})
			}
			got := f.call("gateway-0", http.MethodPost, "/redeem/1")
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			return got
		},
		"A stream broke off midway": func() answer {
			for _, name := range []string{"engine-0", "engine-1", "engine-2"} {
				f.servers[name].Script(func(run platformtest.Run) platformtest.Reply {
					if run.Header.Get("Last-Event-Id") != "" {
						return platformtest.Reply{Reset: true}
					}
					return platformtest.Reply{Events: []string{"one", "two"}, CutAfter: len("id: 1\ndata: one\n\n") + 3}
				})
			}
			got := f.call("gateway-1", http.MethodPost, "/turn/1")
			require.Zero(t, got.status)
			require.Equal(t, 1, got.events)
			return got
		},
		"A turn was answered with 402": func() answer {
			f.scriptEngines()
			var got answer
			for i := 0; got.status != http.StatusPaymentRequired; i++ {
				got = f.turn(gateways[i%3], "spender", 2*tokensPerTurn)
				require.Less(t, i, 100)
			}
			return got
		},
	}
	f.waitUntil("the budgets have a home", func() bool {
		return f.turn("gateway-0", "first", 9*tokensPerTurn).status == http.StatusOK
	})
	sectionsRun := 0
	for _, s := range operationsPage(t) {
		if fail, known := failures[s.title]; known {
			request := fail().id
			f.waitRequestEnded(request)
			f.runSteps(s, request)
			sectionsRun++
		}
	}
	require.Equal(t, len(failures), sectionsRun, "docs/OPERATIONS.md lacks a section for a failure")
}

// readLog returns the log of a daemon.
func (f *testFleet) readLog(name string) string {
	text, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	require.NoError(f.t, err)
	return string(text)
}

// TestLogsRecordStopsEmptyDisksAndTimeouts checks for the log lines that were needed to
// analyse the incidents of docs/INCIDENTS.md.
func TestLogsRecordStopsEmptyDisksAndTimeouts(t *testing.T) {
	f := newTestFleet(t)
	for _, name := range []string{"till-0", "till-1", "till-2"} {
		f.servers[name].Always(platformtest.Reply{Silent: true})
	}
	withShortDeadline := func(r *http.Request) { r.Header.Set("Deadline-Ms", "100") }
	got := f.call("gateway-0", http.MethodPost, "/redeem/1", withShortDeadline)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	f.waitRequestEnded(got.id)
	require.Contains(t, f.readLog("gateway-0"), ":no answer in time")

	require.NoError(t, f.process("gateway-1").Stop(t.Context()))
	require.Contains(t, f.readLog("gateway-1"), `"planned stop begins"`)
	require.Contains(t, f.readLog("gateway-1"), `"work ended, stopping"`)

	require.Contains(t, f.readLog("keeper-0"), `"empty_disk":true`)
	f.restart("keeper-0")
	require.Contains(t, f.readLog("keeper-0"), `"empty_disk":false`)
}
