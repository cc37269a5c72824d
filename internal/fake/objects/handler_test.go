package objects_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
)

func TestFaultsAreSetWhileServing(t *testing.T) {
	server := httptest.NewServer(objects.Handler(objects.New()))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPut, server.URL+"/faults", strings.NewReader(`{"outage":true}`))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())

	response, err = http.Get(server.URL + "/v1/objects/k")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)

	response, err = http.Get(server.URL + "/counts")
	require.NoError(t, err)
	defer response.Body.Close()
	var counts objects.Counts
	require.NoError(t, json.NewDecoder(response.Body).Decode(&counts))
	require.Equal(t, 1, counts.Gets)
}
