package mesh

// Abandon frees the socket without a word to peers, as a killed process does.
func (m *QUIC) Abandon() { _ = m.socket.Close() }
