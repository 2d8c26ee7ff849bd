package mesh

// Kill closes the socket without notifying peers, as a killed process does.
func (m *QUIC) Kill() { _ = m.socket.Close() }
