package kernel_test

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"ibisline/internal/kernel"
)

// recorder is a service that records when it is drained and stopped. With fail set,
// Run returns that error immediately.
type recorder struct {
	name   string
	events *[]string
	fail   error
}

func (r *recorder) Run(ctx context.Context) error {
	if r.fail != nil {
		return r.fail
	}
	<-ctx.Done()
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

func (r *recorder) Drain(context.Context) error {
	*r.events = append(*r.events, "drain "+r.name)
	return nil
}

func newKernel() *kernel.Kernel {
	return kernel.New(&log.Logger{Handler: discard.New(), Level: log.DebugLevel})
}

func drainContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

func TestServicesAreDrainedThenStoppedInReverseOrder(t *testing.T) {
	var events []string
	k := newKernel()
	require.NoError(t, k.Register("store", &recorder{name: "store", events: &events}))
	require.NoError(t, k.Register("home", &recorder{name: "home", events: &events}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, k.Run(ctx, drainContext))
	require.Equal(t, []string{"drain home", "drain store", "stop home", "stop store"}, events)
}

func TestFailedServiceStopsTheOthers(t *testing.T) {
	var events []string
	failure := errors.New("address in use")
	k := newKernel()
	require.NoError(t, k.Register("store", &recorder{name: "store", events: &events}))
	require.NoError(t, k.Register("api", &recorder{name: "api", events: &events, fail: failure}))
	err := k.Run(t.Context(), drainContext)
	require.ErrorIs(t, err, failure)
	require.ErrorContains(t, err, "service api ended")
	require.Contains(t, events, "stop store")
}

func TestLookupChecksNameAndType(t *testing.T) {
	k := newKernel()
	require.NoError(t, k.Register("home", &recorder{}))
	require.ErrorIs(t, k.Register("home", &recorder{}), kernel.ErrDuplicate)
	_, err := kernel.Lookup[*recorder](k, "home")
	require.NoError(t, err)
	_, err = kernel.Lookup[*recorder](k, "front")
	require.ErrorIs(t, err, kernel.ErrUnknown)
	_, err = kernel.Lookup[kernel.Dumper](k, "home")
	require.ErrorIs(t, err, kernel.ErrType)
}
