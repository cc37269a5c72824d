package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/catalogue"
	"ibisline/internal/ctl"
	"ibisline/internal/fake/objects"
	"ibisline/internal/objectapi"
	"ibisline/internal/operator"
	"ibisline/internal/structs"
)

// fixture is a platform with daemons, against which a test runs ibisctl.
type fixture struct {
	t     *testing.T
	store *objects.Store
	addr  string
	// mu guards beforePut, which runs once, before the next write.
	mu        sync.Mutex
	beforePut func()
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: objects.New()}
	handler := objects.Handler(f.store)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			f.runBeforePut()
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f.addr = strings.TrimPrefix(server.URL, "http://")
	return f
}

func (f *fixture) runBeforePut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beforePut != nil {
		f.beforePut()
	}
	f.beforePut = nil
}

// addDaemon registers a daemon that answers with the given replies by path.
func (f *fixture) addDaemon(name string, replies map[string]func() any) {
	f.addHandler(name, func(w http.ResponseWriter, r *http.Request) {
		reply, ok := replies[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_ = json.NewEncoder(w).Encode(reply())
	})
}

// addHandler registers a daemon that is served by a handler.
func (f *fixture) addHandler(name string, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	f.addInstance(name, strings.TrimPrefix(server.URL, "http://"))
}

// addInstance registers a daemon at an address.
func (f *fixture) addInstance(name, addr string) {
	f.addObject(structs.InstancePrefix+name, structs.Instance{Name: name, HTTPAddr: addr, State: structs.StateLive})
}

// addObject creates a platform object.
func (f *fixture) addObject(key string, value any) {
	_, err := f.store.Put(context.Background(), key, []byte(jsonOf(f.t, value)), objectapi.NoVersion)
	require.NoError(f.t, err)
}

// run executes ibisctl with the given author and returns its exit code and outputs.
func (f *fixture) run(author string, argv ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	argv = append([]string{"--platform", f.addr, "--author", author}, argv...)
	streams := ctl.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr}
	code = ctl.Run(context.Background(), argv, streams)
	return code, stdout.String(), stderr.String()
}

// mustRun executes ibisctl, requires success and returns its output.
func (f *fixture) mustRun(author string, argv ...string) string {
	code, out, errOut := f.run(author, argv...)
	require.Equal(f.t, ctl.ExitOK, code, errOut)
	return out
}

// entry reads an entry from the store.
func (f *fixture) entry(name string) structs.Entry {
	object, err := f.store.Get(context.Background(), catalogue.Key(name))
	require.NoError(f.t, err)
	entry, err := catalogue.Decode(object)
	require.NoError(f.t, err)
	return entry
}

func TestRaiseRecordsBaselineUntilLowered(t *testing.T) {
	f := newFixture(t)
	f.mustRun("ana", "entry", "put", "a", "--owner", "weaver", "--class", "orders", "--share", "1", "--max-concurrent", "4")
	require.Nil(t, f.entry("a").Baseline)

	f.mustRun("ana", "entry", "raise", "a", "--share", "3", "--reason", "rush")
	f.mustRun("ben", "entry", "raise", "a", "--max-concurrent", "0", "--reason", "again")
	e := f.entry("a")
	require.Equal(t, 1.0, e.Baseline.Share)
	require.Equal(t, 4, e.Baseline.MaxConcurrent)
	require.Equal(t, "ana", e.Baseline.RaisedBy)
	require.Equal(t, "rush", e.Baseline.Reason)
	require.Equal(t, "ben", e.Author)

	f.mustRun("ben", "entry", "lower", "a", "--share", "1")
	require.NotNil(t, f.entry("a").Baseline, "the other limit is still raised")
	f.mustRun("ben", "entry", "lower", "a", "--max-concurrent", "4")
	require.Nil(t, f.entry("a").Baseline)
	f.mustRun("ben", "entry", "retire", "a")
	require.True(t, f.entry("a").Retired)
	require.Contains(t, f.mustRun("ben", "entry", "list"), "retired")
}

func TestInvalidArgumentsChangeNothing(t *testing.T) {
	f := newFixture(t)
	f.mustRun("ana", "entry", "put", "a", "--owner", "weaver", "--class", "orders", "--share", "2")
	before := f.store.Counts().Puts
	invalid := [][]string{
		{},
		{"entry"},
		{"entry", "raise", "a", "--shares", "3"},
		{"entry", "raise", "a", "--share", "1"},
		{"entry", "lower", "a", "--share", "3"},
		{"entry", "lower", "a"},
		{"entry", "lower", "a", "--share", "0"},
		{"entry", "put", "b", "--owner", "weaver", "--class", "orders"},
		{"entry", "put", "b", "--file", "/nonexistent"},
	}
	for _, argv := range invalid {
		code, _, errOut := f.run("ana", argv...)
		require.Equal(t, ctl.ExitUsage, code, "%v: %s", argv, errOut)
		require.NotEmpty(t, errOut)
	}
	code, _, _ := f.run("", "entry", "raise", "a", "--share", "3")
	require.Equal(t, ctl.ExitUsage, code, "an edit needs an author")
	code, _, _ = f.run("ana", "entry", "get", "missing")
	require.Equal(t, ctl.ExitNotFound, code)
	require.Equal(t, before, f.store.Counts().Puts)
}

func TestConcurrentEditNamesFirstAuthor(t *testing.T) {
	f := newFixture(t)
	f.mustRun("ana", "entry", "put", "a", "--owner", "weaver", "--class", "orders", "--share", "1")
	seen := f.entry("a").Version
	f.beforePut = func() {
		e := f.entry("a")
		replaced := e.Version
		e.Author, e.Reason, e.Share = "ben", "till queue", 5
		value, err := catalogue.Encode(e)
		require.NoError(t, err)
		_, err = f.store.Put(context.Background(), catalogue.Key("a"), value, replaced)
		require.NoError(t, err)
	}
	code, _, errOut := f.run("ana", "entry", "raise", "a", "--share", "2")
	require.Equal(t, ctl.ExitConflict, code)
	require.Contains(t, errOut, `"ben"`)
	require.Contains(t, errOut, "till queue")
	require.Equal(t, 5.0, f.entry("a").Share)

	code, _, errOut = f.run("ana", "entry", "lower", "a", "--share", "2", "--version", jsonOf(t, seen))
	require.Equal(t, ctl.ExitConflict, code)
	require.Contains(t, errOut, `"ben"`)
}

func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	f := newFixture(t)
	f.store.SetFaults(objects.Faults{LoseReplies: 1})
	f.mustRun("ana", "entry", "put", "a", "--owner", "weaver", "--class", "orders", "--share", "1")

	f.store.SetFaults(objects.Faults{LateWrites: 1, LateBy: time.Hour})
	code, _, errOut := f.run("ana", "entry", "raise", "a", "--share", "2")
	require.Equal(t, ctl.ExitUnknown, code)
	require.Contains(t, errOut, "may have been made")
}

func TestOutageExitsAsUnavailable(t *testing.T) {
	f := newFixture(t)
	f.store.SetFaults(objects.Faults{Outage: true})
	code, _, _ := f.run("ana", "entry", "put", "a", "--owner", "weaver", "--class", "orders", "--share", "1")
	require.Equal(t, ctl.ExitUnavailable, code)
}

func TestWaitTimeoutNamesDaemonsWithoutEdit(t *testing.T) {
	f := newFixture(t)
	var revision int64
	statusReply := func(revision *int64) map[string]func() any {
		return map[string]func() any{"/v1/status": func() any { return operator.Status{CatalogueRevision: *revision} }}
	}
	ahead := int64(1 << 40)
	f.addDaemon("d1", statusReply(&ahead))
	f.mustRun("ana", "--wait", "entry", "put", "a", "--owner", "weaver", "--class", "orders", "--share", "1")
	f.addDaemon("d2", statusReply(&revision))
	f.addDaemon("d3", nil)
	code, _, errOut := f.run("ana", "--wait", "--timeout", "1s", "entry", "raise", "a", "--share", "2")
	require.Equal(t, ctl.ExitNotInForce, code)
	require.NotContains(t, errOut, "d1")
	require.Contains(t, errOut, "d2 (revision 0)")
	require.Contains(t, errOut, "d3 (no answer)")
	require.Equal(t, 2.0, f.entry("a").Share)
}

func TestReportShowsEntriesStarvedByRaise(t *testing.T) {
	f := newFixture(t)
	f.mustRun("ana", "entry", "put", "rush", "--owner", "weaver", "--class", "orders", "--share", "1")
	f.mustRun("ana", "entry", "put", "small", "--owner", "school", "--class", "till", "--share", "1")
	f.mustRun("ana", "entry", "raise", "rush", "--share", "9", "--reason", "fair")
	f.addDaemon("d1", map[string]func() any{"/v1/shares": func() any {
		return []structs.ShareReport{
			{Entry: "rush", Owner: "weaver", Granted: 9, ReceivedTokens: 950},
			{Entry: "small", Owner: "school", Granted: 1, ReceivedTokens: 50, Waiting: 7},
		}
	}})
	f.addDaemon("d2", nil)
	var report struct {
		Entries []struct {
			Entry         string
			Starved       bool
			GrantedTokens float64 `json:"granted_tokens"`
			Raised        *struct {
				RaisedBy string `json:"raised_by"`
				Starves  []string
			}
		}
		Unreachable []string `json:"silent_daemons"`
	}
	require.NoError(t, json.Unmarshal([]byte(f.mustRun("ben", "--json", "entry", "report")), &report))
	require.Equal(t, []string{"d2"}, report.Unreachable)
	require.Equal(t, "ana", report.Entries[0].Raised.RaisedBy)
	require.Equal(t, []string{"small"}, report.Entries[0].Raised.Starves)
	require.True(t, report.Entries[1].Starved)
	require.InDelta(t, 100, report.Entries[1].GrantedTokens, 1e-9)
	require.Contains(t, f.mustRun("ben", "entry", "report"), "fair")
}

// jsonOf returns the JSON form of a value.
func jsonOf(t *testing.T, value any) string {
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return string(text)
}
