package httpd

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
