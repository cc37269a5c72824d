package crashguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against missing the crash of a server that does not answer the first probes and refuses
// connections later.
func TestCrashOfSilentServerIsCounted(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fleet) {
		for i := range 3 {
			f.servers.silence(engine(i).Name, time.Second)
			f.breakConnection("gateway-0", request, engine(i).Name, 1)
			time.Sleep(2 * time.Second)
		}
		f.exchangeMarks(2)
		require.Equal(t, 4, f.refusing(request))
	})
}

// Guards against missing the crash of a server that has started again before it is probed, under
// its own name or as another instance at its address.
func TestServerThatIsBackBeforeItIsProbedHasCrashed(t *testing.T) {
	for name, asAnother := range map[string]bool{"under its own name": false, "as another instance": true} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 4, func(t *testing.T, f *fleet) {
				for i := range 3 {
					f.servers.restartAfter(engine(i), 800*time.Millisecond, asAnother)
					f.servers.listen(engine(i).Name)
					f.breakConnection("gateway-0", request, engine(i).Name, 1)
					time.Sleep(2 * time.Second)
				}
				f.exchangeMarks(2)
				require.Equal(t, 4, f.refusing(request))
			})
		})
	}
}
