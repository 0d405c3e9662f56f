package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// exchange sends one order over a connection and reads its whole answer.
func exchange(c net.Conn, reader *bufio.Reader, id, path string) (status int, err error) {
	body := "sleepers=40"
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = io.WriteString(c, orderHead(id, path)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// orderHead returns the head of an order but for the fields that frame its body.
func orderHead(id, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRattanspur-Attempt-Id: %s\r\nRattanspur-Deadline-Ms: 600\r\nAuthorization: Bearer %s\r\n",
		path, hostName, id, key)
}
