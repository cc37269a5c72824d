package ctl_test

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/ctl"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// addServer registers a backend server with the platform.
func (f *fixture) addServer(server structs.Server) {
	server.State = structs.StateLive
	f.addObject(structs.ServerPrefix+server.Name, server)
}

// newOrderFixture returns a fixture with an engine that ignores fencing numbers, an
// engine that checks them, and a plain service.
func newOrderFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.addServer(structs.Server{Name: "e2", Kind: structs.KindEngine, Models: []string{"m"}})
	f.addServer(structs.Server{Name: "e1", Kind: structs.KindEngine, Models: []string{"m", "n"}, Fences: true})
	f.addServer(structs.Server{Name: "till-1", Kind: structs.KindService, Service: "till"})
	return f
}

// failOrders registers a daemon that answers orders with a failure.
func (f *fixture) failOrders(failure *verdict.Error) {
	f.addHandler("d2", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadGateway)
		_ = json.NewEncoder(w).Encode(failure)
	})
}

func TestServerListShowsServedNames(t *testing.T) {
	f := newOrderFixture(t)
	shown := f.mustRun("ana", "server", "list")
	for _, text := range []string{"e1", "m, n", "checked", "e2", "ignored", "till"} {
		require.Contains(t, shown, text)
	}
	var servers []structs.Server
	require.NoError(t, json.Unmarshal([]byte(f.mustRun("ana", "--json", "server", "list")), &servers))
	require.Len(t, servers, 3)
	require.Equal(t, "e1", servers[0].Name)
}

func TestOrderReachesEngineThroughDaemon(t *testing.T) {
	f := newOrderFixture(t)
	// The first daemon refuses connections, so the order is sent to the second one.
	f.addInstance("d1", "127.0.0.1:1")
	sent := make(chan string, 1)
	f.addHandler("d2", func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sent <- r.Method + " " + r.URL.Path + " " + string(body)
	})
	for command, kind := range map[string]string{"load-model": "load_model", "load-adapter": "load_adapter", "set-role": "set_role"} {
		code, out, errOut := f.run("", "--json", "order", command, "e1", "x")
		require.Equal(t, ctl.ExitOK, code, errOut)
		require.Empty(t, errOut)
		require.JSONEq(t, `{"engine":"e1","kind":"`+kind+`","name":"x","verdict":"ran","daemon":"d2"}`, out)
		require.Equal(t, `POST /v1/servers/e1/orders {"kind":"`+kind+`","name":"x"}`, <-sent)
	}
	code, out, errOut := f.run("", "order", "load-model", "e2", "x")
	require.Equal(t, ctl.ExitOK, code)
	require.Contains(t, errOut, "ignores fencing numbers")
	require.Contains(t, out, "ran")
}

// TestFailedOrderShowsVerdict checks that a refused order and one in doubt differ in
// the exit code and in the message to the operator.
func TestFailedOrderShowsVerdict(t *testing.T) {
	cases := map[string]struct {
		failure *verdict.Error
		code    int
	}{
		"no verdict":    {&verdict.Error{}, ctl.ExitUnknown},
		"in doubt":      {verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "no answer"), ctl.ExitUnknown},
		"not allowed":   {verdict.Refuse(verdict.BadRequest, "kind"), ctl.ExitUsage},
		"unknown":       {verdict.Refuse(verdict.NoServer, "gone"), ctl.ExitNotFound},
		"platform down": {verdict.Refuse(verdict.PlatformDown, "down"), ctl.ExitUnavailable},
		"refused":       {verdict.Refuse(verdict.Canceled, "stop"), ctl.ExitRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newOrderFixture(t)
			f.failOrders(c.failure)
			code, out, errOut := f.run("", "order", "set-role", "e1", "x")
			require.Equal(t, c.code, code, errOut)
			require.Contains(t, out, c.failure.Verdict.String())
			require.Contains(t, errOut, c.failure.Verdict.String())
			require.Contains(t, errOut, c.failure.Message)
		})
	}
}

func TestLostResponseLeavesOrderInDoubt(t *testing.T) {
	f := newOrderFixture(t)
	var requests atomic.Int64
	abort := func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}
	f.addHandler("d1", abort)
	f.addHandler("d2", abort)
	code, out, _ := f.run("", "--json", "order", "load-model", "e1", "x")
	require.Equal(t, ctl.ExitUnknown, code)
	require.Contains(t, out, `"may_have_run"`)
	require.EqualValues(t, 1, requests.Load(), "no other daemon is tried after the order was sent")
}

func TestOrderWithoutTargetIsNotSent(t *testing.T) {
	f := newOrderFixture(t)
	f.addHandler("d1", func(http.ResponseWriter, *http.Request) { t.Error("an order was sent") })
	for code, argv := range map[int][]string{
		ctl.ExitNotFound: {"order", "load-model", "e9", "x"},
		ctl.ExitUsage:    {"order", "load-model", "till-1", "x"},
	} {
		got, _, errOut := f.run("", argv...)
		require.Equal(t, code, got, errOut)
	}
	for _, argv := range [][]string{{"order"}, {"server"}, {"order", "load-model", "e1"}} {
		got, _, errOut := f.run("", argv...)
		require.Equal(t, ctl.ExitUsage, got, errOut)
	}
	empty := newOrderFixture(t)
	got, out, _ := empty.run("", "order", "load-model", "e1", "x")
	require.Equal(t, ctl.ExitUnavailable, got)
	require.Contains(t, out, "not_run")
}
