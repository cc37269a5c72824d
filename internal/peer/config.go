package peer

import (
	"time"

	"ibisline/internal/defaults"
)

// Config holds the limits of a Transport. Zero fields take their defaults.
type Config struct {
	// Listen is the IP:port on which other daemons connect.
	Listen string
	// MaxFrameBytes bounds one encoded message.
	MaxFrameBytes int
	// DialTimeout bounds connecting and the handshake.
	DialTimeout time.Duration
	// PingInterval is the time between checks of a connection with open streams.
	PingInterval time.Duration
	// PingTimeout is the time after which an unanswered check breaks the connection.
	PingTimeout time.Duration
	// IdleTimeout closes a connection that had no stream for so long.
	IdleTimeout time.Duration
}

const (
	defaultMaxFrameBytes = 16 << 20
	defaultDialTimeout   = time.Second
	defaultPingInterval  = 500 * time.Millisecond
	defaultPingTimeout   = 1500 * time.Millisecond
	defaultIdleTimeout   = 15 * time.Second
)

// withDefaults returns c with its zero fields filled.
func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxFrameBytes, defaultMaxFrameBytes)
	defaults.Set(&c.DialTimeout, defaultDialTimeout)
	defaults.Set(&c.PingInterval, defaultPingInterval)
	defaults.Set(&c.PingTimeout, defaultPingTimeout)
	defaults.Set(&c.IdleTimeout, defaultIdleTimeout)
	return c
}
