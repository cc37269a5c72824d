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

// probe records the order in which it is drained and stopped.
type probe struct {
	name  string
	trace *[]string
	fail  error
}

func (p *probe) Run(ctx context.Context) error {
	if p.fail != nil {
		return p.fail
	}
	<-ctx.Done()
	*p.trace = append(*p.trace, "stop "+p.name)
	return nil
}

func (p *probe) Drain(context.Context) error {
	*p.trace = append(*p.trace, "drain "+p.name)
	return nil
}

func newKernel() *kernel.Kernel {
	return kernel.New(&log.Logger{Handler: discard.New(), Level: log.DebugLevel})
}

func drainContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

func TestServicesAreDrainedThenStoppedInReverseOrder(t *testing.T) {
	var trace []string
	k := newKernel()
	require.NoError(t, k.Register("store", &probe{name: "store", trace: &trace}))
	require.NoError(t, k.Register("home", &probe{name: "home", trace: &trace}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, k.Run(ctx, drainContext))
	require.Equal(t, []string{"drain home", "drain store", "stop home", "stop store"}, trace)
}

func TestFailedServiceEndsTheOthers(t *testing.T) {
	var trace []string
	broken := errors.New("address in use")
	k := newKernel()
	require.NoError(t, k.Register("store", &probe{name: "store", trace: &trace}))
	require.NoError(t, k.Register("api", &probe{name: "api", trace: &trace, fail: broken}))
	err := k.Run(t.Context(), drainContext)
	require.ErrorIs(t, err, broken)
	require.ErrorContains(t, err, "service api ended")
	require.Contains(t, trace, "stop store")
}

func TestLookupChecksNameAndType(t *testing.T) {
	k := newKernel()
	require.NoError(t, k.Register("home", &probe{}))
	require.ErrorIs(t, k.Register("home", &probe{}), kernel.ErrDuplicate)
	_, err := kernel.Lookup[*probe](k, "home")
	require.NoError(t, err)
	_, err = kernel.Lookup[*probe](k, "front")
	require.ErrorIs(t, err, kernel.ErrUnknown)
	_, err = kernel.Lookup[kernel.Dumper](k, "home")
	require.ErrorIs(t, err, kernel.ErrType)
}
