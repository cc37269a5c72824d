package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sendCall makes one call with a client that does not follow redirects.
func sendCall(t *testing.T, url, key string) (int, error) {
	t.Helper()
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	request, err := http.NewRequest(http.MethodPost, url+"/order", strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set(HeaderCallKey, key)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

func TestCrashBeforeAndAfterExecution(t *testing.T) {
	s := New(Settings{Name: "desk", Lookup: true})
	server := httptest.NewServer(s.Handler())
	defer server.Close()

	s.SetFaults(Faults{CrashBefore: 1})
	_, err := sendCall(t, server.URL, "p/1")
	require.Error(t, err)
	require.Zero(t, s.Counts().Executions["p/1"])

	s.SetFaults(Faults{CrashAfter: 1})
	_, err = sendCall(t, server.URL, "p/1")
	require.Error(t, err)
	require.Equal(t, 1, s.Counts().Executions["p/1"])

	status, err := sendCall(t, server.URL, "p/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 1, s.Counts().Repeated)
}

func TestFollowedRedirectIsCountedAsRepeatedExecution(t *testing.T) {
	s := New(Settings{Name: "desk"})
	s.SetFaults(Faults{Redirect: 1})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/order", strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set(HeaderCallKey, "p/1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, 2, s.Counts().Executions["p/1"])
}

func TestHangEndsWhenTheFaultIsCleared(t *testing.T) {
	s := New(Settings{Name: "desk"})
	s.SetFaults(Faults{Hang: true})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	done := make(chan error, 1)
	go func() {
		_, err := sendCall(t, server.URL, "p/1")
		done <- err
	}()
	for s.Counts().Arrived == 0 {
		select {
		case err := <-done:
			t.Fatal("the call ended while the service hung", err)
		default:
		}
	}
	require.Zero(t, s.Counts().Executions["p/1"])
	s.SetFaults(Faults{})
	require.NoError(t, <-done)
	require.Equal(t, 1, s.Counts().Executions["p/1"])
}

func TestLookupFindsOnlyExecutedKeys(t *testing.T) {
	s := New(Settings{Name: "desk", Lookup: true})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	_, err := sendCall(t, server.URL, "p/1")
	require.NoError(t, err)
	for key, want := range map[string]int{"p/1": http.StatusOK, "p/2": http.StatusNotFound} {
		response, err := http.Get(server.URL + "/lookup?key=" + key)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, want, response.StatusCode)
	}
}
