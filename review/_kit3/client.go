package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one attempt. Status is 0 if the connection ended without a
// complete answer.
type answer struct {
	status     int
	body       string
	signed     bool
	retryAfter time.Duration
	err        error
}

// caller is a client with a connection that it keeps.
type caller struct {
	host, address string
	conn          net.Conn
	reader        *bufio.Reader
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send makes one attempt with an id of its own and the deadline of the client.
func (c *caller) send(method, uri, id, body string, deadline time.Duration) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nGalenaridge-Request-Id: %s\r\nGalenaridge-Deadline-Ms: %d\r\n", method, uri, c.host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		c.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	content, err := readAll(response)
	if err != nil {
		c.close()
		return answer{err: err}
	}
	if response.Close {
		c.close()
	}
	a := answer{status: response.StatusCode, body: string(content), signed: response.Header.Get("Galenaridge-Server-Signature") != ""}
	if seconds, err := time.ParseDuration(response.Header.Get("Retry-After") + "s"); err == nil {
		a.retryAfter = seconds
	}
	return a
}

func readAll(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}
