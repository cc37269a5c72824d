package peer

import (
	"context"
	"net"
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
	// ConnectTimeout is the wait for an answer to the first packet of a connection
	// before another connection is tried. A peer that has just started may have
	// missed the packet, and TCP itself sends it again after a second only.
	ConnectTimeout time.Duration
	// Dial makes a connection to an address, IP:port; over TCP when nil.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
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
	// defaultConnectTimeout is several times the way between regions.
	defaultConnectTimeout = 200 * time.Millisecond
	defaultPingInterval   = 500 * time.Millisecond
	defaultPingTimeout    = 1500 * time.Millisecond
	defaultIdleTimeout    = 15 * time.Second
)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}

// withDefaults returns c with its zero fields filled.
func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxFrameBytes, defaultMaxFrameBytes)
	defaults.Set(&c.DialTimeout, defaultDialTimeout)
	defaults.Set(&c.ConnectTimeout, defaultConnectTimeout)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	defaults.Set(&c.PingInterval, defaultPingInterval)
	defaults.Set(&c.PingTimeout, defaultPingTimeout)
	defaults.Set(&c.IdleTimeout, defaultIdleTimeout)
	return c
}
