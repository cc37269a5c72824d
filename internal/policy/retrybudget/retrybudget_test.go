package retrybudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/policy/retrybudget"
)

func TestRetriesAreAFractionOfRequests(t *testing.T) {
	now := time.Unix(0, 0)
	budget := retrybudget.New(now)
	for budget.Spend(now) {
	}
	const requests = 1000
	retries := 0
	for range requests {
		budget.RecordRequest()
		if budget.Spend(now) {
			retries++
		}
	}
	require.InDelta(t, requests*retrybudget.Ratio, retries, 1)
}

func TestRefillWithoutRequestsIsCapped(t *testing.T) {
	now := time.Unix(0, 0)
	budget := retrybudget.New(now)
	for budget.Spend(now) {
	}
	now = now.Add(time.Hour)
	retries := 0
	for budget.Spend(now) {
		retries++
	}
	require.Equal(t, 30, retries)
}
