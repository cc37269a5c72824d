package peer

import (
	"context"
	"net"
	"time"

	"ibisline/internal/defaults"
)

// Config holds the settings of a Transport. Zero fields take their defaults.
type Config struct {
	// Listen is the address, IP:port, that accepts connections of other daemons.
	Listen string
	// MaxFrameBytes is the maximum size of an encoded message.
	MaxFrameBytes int
	// DialTimeout bounds connection setup, handshake included.
	DialTimeout time.Duration
	// ConnectTimeout bounds one TCP connection attempt; a new attempt follows until
	// DialTimeout. The SYN may be lost while a peer is starting, and TCP
	// retransmits it only after one second.
	ConnectTimeout time.Duration
	// Dial connects to an address, IP:port. The default is a TCP dialer.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// PingInterval is the time between liveness checks of a connection that has
	// open streams.
	PingInterval time.Duration
	// PingTimeout is the wait for a ping reply before the connection is closed as
	// lost.
	PingTimeout time.Duration
	// IdleTimeout is the time without streams after which a connection is closed.
	IdleTimeout time.Duration
}

const (
	defaultMaxFrameBytes = 16 << 20
	defaultDialTimeout   = time.Second
	// defaultConnectTimeout is several times the latency between regions.
	defaultConnectTimeout = 200 * time.Millisecond
	defaultPingInterval   = 500 * time.Millisecond
	defaultPingTimeout    = 1500 * time.Millisecond
	defaultIdleTimeout    = 15 * time.Second
)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}

// withDefaults returns c with zero fields set to their defaults.
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
