package socktest

import "strings"

// Malformed is a response with a line that is not a field.
type Malformed struct {
	Name, Text string
	// Body is what precedes the malformed line if that stands in the trailer, else "".
	Body string
}

// malformedLines are lines that are not fields: their names hold a blank or a control byte, or
// are empty, their values hold a control byte, or they continue the line before.
var malformedLines = []string{
	"X Y: 1", "X-Y : 1", "X-Y\t: 1", " X-Y: 1", "\tX-Y: 1", " 1", " ", ": 1", " : 1", "X-Y", "X\x00Y: 1", "X\x01Y: 1",
	"X\x7fY: 1", "X\rY: 1", "X\tY: 1", "X\xa0Y: 1", "X-Y: 1\x002", "X-Y: 1\x012", "X-Y: 1\r2",
	"Content-Length : 4", "Content Length: 4", " Content-Length: 4", "Content-Length\x00: 4",
}

// continues reports whether a line continues the one before. That hides nothing in a trailer,
// which frames no body and is not passed on.
func continues(line string) bool { return line[0] == ' ' || line[0] == '\t' }

// MalformedHeads returns responses to a request, each with one malformed line: in the head, in
// the head of an interim response, in the place of the line that frames the body, or in the
// trailer. fields are further lines of their heads, each with its line end.
func MalformedHeads(fields string) []Malformed {
	const status, length, chunks = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\nbody", "\r\n4\r\nbody\r\n0\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n"
	fields += "Server: s\r\n"
	whole := status + fields + length
	var all []Malformed
	add := func(name, line, text, body string) {
		all = append(all, Malformed{Name: name + " with " + strings.ToValidUTF8(line, "?"), Text: text, Body: body})
	}
	for _, line := range malformedLines {
		add("head", line, status+fields+line+"\r\n"+length, "")
		add("last line", line, status+fields+"Content-Length: 4\r\n"+line+"\r\n\r\nbody", "")
		add("bare line end", line, status+fields+line+"\n"+length, "")
		add("interim head", line, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n"+line+"\r\n\r\n"+whole, "")
		add("second interim head", line, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1  102 Processing\r\nX: 1\r\n"+line+"\r\n\r\n"+whole, "")
		if !continues(line) {
			add("trailer", line, status+fields+chunked+chunks+"X: 1\r\n"+line+"\r\n\r\n", "body")
		}
	}
	for _, line := range []string{"Content-Length : 4", "Content Length: 4", " Content-Length: 4", "\tContent-Length: 4"} {
		add("hidden length", line, status+fields+line+"\r\n\r\nbody and more", "")
	}
	for _, line := range []string{"Transfer-Encoding : chunked", "Transfer Encoding: chunked", " Transfer-Encoding: chunked"} {
		add("hidden chunks", line, status+fields+line+"\r\n"+chunks+"\r\n", "")
	}
	return all
}
