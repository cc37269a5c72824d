package straggler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/policy/straggler"
)

const (
	ms     = time.Millisecond
	target = 47 * ms
)

func TestEngineAtQuarterSpeedIsSlow(t *testing.T) {
	var detector straggler.Detector
	require.True(t, detector.Judge(100*ms, []time.Duration{25 * ms, 24 * ms, 26 * ms}, target))
}

func TestLoadedEngineWithinTargetIsNotSlow(t *testing.T) {
	var detector straggler.Detector
	require.False(t, detector.Judge(50*ms, []time.Duration{21 * ms, 22 * ms}, target))
}

func TestSlowEngineRecoversWithHysteresis(t *testing.T) {
	var detector straggler.Detector
	peers := []time.Duration{30 * ms, 30 * ms, 0}
	require.True(t, detector.Judge(90*ms, peers, target))
	require.True(t, detector.Judge(50*ms, peers, target))
	require.False(t, detector.Judge(40*ms, peers, target))
	require.False(t, detector.Judge(50*ms, peers, target))
}

func TestEngineIsNotSlowWithoutPeersOrSamples(t *testing.T) {
	var detector straggler.Detector
	require.False(t, detector.Judge(500*ms, []time.Duration{30 * ms, 0}, target))
	require.False(t, detector.Judge(0, []time.Duration{30 * ms, 30 * ms}, target))
}

func TestEngineAsSlowAsItsPeersIsNotSlow(t *testing.T) {
	var detector straggler.Detector
	require.False(t, detector.Judge(120*ms, []time.Duration{110 * ms, 120 * ms}, target))
}
