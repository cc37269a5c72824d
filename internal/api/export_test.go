package api

import "net"

// SetListener replaces the listener that Listen has bound.
func (s *Server) SetListener(l net.Listener) error {
	err := s.listener.Close()
	s.listener = l
	return err
}
