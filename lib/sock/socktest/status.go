package socktest

// InvalidStatuses returns what may follow the protocol version in the status line of a
// faulty response with content: the code is outside the range of HTTP/1.1, malformed or
// missing, or belongs to responses without content.
func InvalidStatuses() []string {
	return []string{
		" 000 OK", " 001 OK", " 099 OK", " 600 OK", " 999 OK",
		" 0 OK", " 20 OK", " 0200 OK", " 2000 OK", " 200, OK",
		" -20 OK", " -200 OK", " +20 OK", " 2x0 OK", " OK", " ", "",
		" 100 Continue", " 101 Switching Protocols", " 102 Processing", " 199 Odd",
		" 204 No Content", " 205 Reset Content", " 304 Not Modified",
	}
}
