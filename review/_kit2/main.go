// Command kit2 holds the stand-ins and the drivers of the scripts of the second review.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the drivers by the number of the case. A driver returns the exit code.
var cases = map[string]func(trouble bool) (int, error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE")
		os.Exit(2)
	}
	endAfter(110 * time.Second)
	code, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	os.Exit(code)
}

// endAfter ends the processes of the case and this one after a time, or at a signal.
func endAfter(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		started.Lock()
		for _, f := range started.fleets {
			f.kill()
			_ = os.RemoveAll(f.dir)
		}
		fmt.Fprintln(os.Stderr, "the case could not run: it was ended")
		os.Exit(2)
	}()
}

// service returns the configuration of a service.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false}
}

// limits returns the limits of a configuration.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// ask sends one request on a connection of its own. The header lines end with CRLF each.
func ask(address, method, path, id, headerLines string) (status int, body string, _ error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nGalenaridge-Request-Id: %s\r\nGalenaridge-Deadline-Ms: 1000\r\n%s%s\r\n", method, path, id, length, headerLines); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
