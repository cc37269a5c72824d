//go:build review3

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// delayTo returns a proxy to an address that delays all bytes by a time in each direction, as a distance does. It
// holds back nothing else, and closes and refuses connections as the other side does.
func delayTo(addr string, by time.Duration) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer near.Close()
				far, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				defer far.Close()
				var ways sync.WaitGroup
				ways.Go(func() { delayed(far, near, by) })
				ways.Go(func() { delayed(near, far, by) })
				ways.Wait()
			}()
		}
	}()
	return listener, nil
}

// part is what was read at a time.
type part struct {
	at    time.Time
	bytes []byte
}

// delayed copies from one connection to another one with a delay, and then ends both.
func delayed(to, from net.Conn, by time.Duration) {
	parts := make(chan part, 4096)
	go func() {
		defer close(parts)
		for {
			buffer := make([]byte, 64<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				parts <- part{time.Now(), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.at.Add(by)))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	for range parts {
	}
	_, _ = io.Copy(io.Discard, from)
}
