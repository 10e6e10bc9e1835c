package httpd

import (
	"fmt"
	"net"
)

// Refuse closes the listener, so that new connections are refused, and returns once those
// that were accepted are known. They are served.
func (s *Server) Refuse() {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	listener.Close()
	s.accepting.Wait()
}

// Listen opens the listener of a Server.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}
