package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/settings"
)

const minimal = `
[instance]
name = "nav-a-1"
region = "nav"
data_centre = "nav-a"
http_addr = "127.0.0.1:8080"
peer_addr = "127.0.0.1:8081"

[platform]
addrs = ["127.0.0.1:9000"]
`

func TestDefaultsApplyToMissingKeys(t *testing.T) {
	loaded, err := settings.Parse([]byte(minimal + "[dispatch]\nqueue = \"fifo\"\n"))
	require.NoError(t, err)
	require.Equal(t, "fifo", loaded.Dispatch.Queue)
	require.Equal(t, settings.Default().Dispatch.Placement, loaded.Dispatch.Placement)
	require.Equal(t, 2*time.Second, loaded.Platform.Timeout.Std())
}

func TestErrorsNameKeyValueAndAllowedValues(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"missing", "", "instance.name is nothing; allowed: letters, digits, dashes"},
		{"option", minimal + "[dispatch]\nqueue = \"lifo\"\n", "dispatch.queue is lifo; allowed: fair or fifo"},
		{"range", minimal + "[home]\nshards = 0\n", "home.shards is 0; allowed: 1 to 4096"},
		{"duration", minimal + "[stop]\ndrain_limit = \"10ms\"\n", "stop.drain_limit is 10ms; allowed: 1s to 2h"},
		{"address", strings.Replace(minimal, "127.0.0.1:8081", "nowhere", 1), "instance.peer_addr is nowhere; allowed: IP:port"},
		{"list", strings.Replace(minimal, "127.0.0.1:9000", "nowhere", 1), "platform.addrs[0] is nowhere; allowed: a list of IP:port"},
		{"unknown key", minimal + "[dispatch]\nquue = \"fair\"\n", "quue"},
		{"wrong type", minimal + "[home]\nshards = \"many\"\n", "shards"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(c.text))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestAllErrorsAreReportedTogether(t *testing.T) {
	_, err := settings.Parse([]byte(minimal + "[home]\nshards = 0\n[log]\nlevel = \"loud\"\n"))
	require.ErrorContains(t, err, "home.shards")
	require.ErrorContains(t, err, "log.level")
}
