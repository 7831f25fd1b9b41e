package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// One in spoilEvery servers spoils answers, and spoilAnswers is the share of the answers
	// that it spoils.
	spoilEvery   = 3
	spoilAnswers = 0.02
	// spoilFor is how long they do so in each of spoilRounds rounds.
	spoilFor    = 5500 * time.Millisecond
	spoilRounds = 4
)

// fieldNameBytes are the bytes that a field name may have, by RFC 9110.
const fieldNameBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// headProblem returns the first line of the head of an answer that HTTP doesn't allow.
func headProblem(head []string) string {
	for i, line := range head {
		if i == 0 {
			if !strings.HasPrefix(line, "HTTP/1.1 ") {
				return line
			}
			continue
		}
		name, _, found := strings.Cut(line, ":")
		if !found || name == "" || strings.Trim(name, fieldNameBytes) != "" {
			return line
		}
	}
	return ""
}

// readHead reads the head of an answer, line by line.
func readHead(reader *bufio.Reader) ([]string, error) {
	var head []string
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return head, err
		}
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if line == "" {
			return head, nil
		}
		head = append(head, line)
	}
}

// answerSpoiled works and answers. One byte of the head is wrong: there is a space in place
// of the hyphen of Cache-Control.
func (b *backend) answerSpoiled(w http.ResponseWriter, id string) bool {
	time.Sleep(b.work)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	text := "answer to " + id
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nGalenaridge-Request-Id: %s\r\nGalenaridge-Server-Signature: %s.%s\r\n"+
		"Content-Type: text/plain\r\nCache Control: no-store\r\nContent-Length: %d\r\n\r\n%s", id, b.id, id, len(text), text)
	// The connection stays open until the answer has certainly been read.
	time.Sleep(50 * time.Millisecond)
	return true
}

// runSpoil lets some servers spoil a few of their answers.
func runSpoil(r *record, binary, dir string, trouble bool) (broken bool, err error) {
	s := &site{record: r, deployment: bmrsGateway, binary: binary}
	defer s.close()
	if s.store, err = startStore(); err != nil {
		return false, err
	}
	if err := s.startBackends(nil); err != nil {
		return false, err
	}
	var mu sync.Mutex
	spoiled := make(map[string]string)
	var spoiling atomic.Bool
	for i, b := range s.backends {
		if i%spoilEvery == 0 {
			b.handle = func(b *backend, w http.ResponseWriter, req *http.Request) bool {
				if !spoiling.Load() || rand.Float64() >= spoilAnswers {
					return false
				}
				id := req.Header.Get("Galenaridge-Request-Id")
				mu.Lock()
				spoiled[id] = b.id
				mu.Unlock()
				r.add("server %s spoils its answer to %s", b.id, id)
				return b.answerSpoiled(w, id)
			}
		}
	}
	if err := s.startGateways(3, dir, s.store.address(), 0); err != nil {
		return false, err
	}
	resolver := newClient(r, s.deployment, s.directories(nil))
	counts := make(map[string]int)
	bad, served := 0, 0
	send := func(k kind) {
		a := s.sendRaw(resolver, k)
		mu.Lock()
		defer mu.Unlock()
		counts[fmt.Sprintf("%s %d", k.name, a.status)]++
		if a.status == http.StatusOK {
			served++
		}
		if a.err != nil {
			bad++
			if bad <= 20 {
				r.say("BAD: the client of %s (%s) gets status %d from %s, signature %q, and then %v; spoiled by server %q", a.id, k.name, a.status, a.address, a.signature, a.err, spoiled[a.id])
			}
		}
	}
	stop := make(chan struct{})
	var senders, pending sync.WaitGroup
	for _, k := range s.deployment.kinds {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second))):
				}
				pending.Go(func() { send(k) })
			}
		})
	}
	for range spoilRounds {
		time.Sleep(2 * time.Second)
		spoiling.Store(trouble)
		time.Sleep(spoilFor)
		spoiling.Store(false)
	}
	close(stop)
	senders.Wait()
	pending.Wait()
	r.say("answers: %v; spoiled by servers: %d; not HTTP at clients: %d", counts, len(spoiled), bad)
	switch {
	case served == 0:
		return false, errNoTraffic
	case trouble && len(spoiled) == 0:
		return false, errors.New("no server spoiled an answer")
	}
	return bad > 0, nil
}

// errNotHTTP is a line that HTTP doesn't allow.
type errNotHTTP string

func (e errNotHTTP) Error() string { return fmt.Sprintf("a line that is no HTTP: %q", string(e)) }

// sendRaw sends a request on a connection of its own and reads the head of the answer line
// by line. The error of the answer says which line is no HTTP.
func (s *site) sendRaw(c *client, k kind) answer {
	a := answer{id: nextID(), kind: k.name, sentAt: time.Now()}
	a.address = c.address(context.Background())
	s.add("sent %s %s to %s", k.name, a.id, a.address)
	conn, err := net.DialTimeout("tcp4", a.address, time.Second)
	if err != nil {
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(a.sentAt.Add(k.deadline))
	fmt.Fprintf(conn, "%s %sx HTTP/1.1\r\nHost: %s\r\nGalenaridge-Request-Id: %s\r\nGalenaridge-Deadline-Ms: %d\r\n", k.method, k.prefix, hostName, a.id, k.deadline.Milliseconds())
	if k.bodyBytes > 0 {
		fmt.Fprintf(conn, "Content-Length: %d\r\n", k.bodyBytes)
	}
	_, _ = io.WriteString(conn, "\r\n"+strings.Repeat("b", k.bodyBytes))
	head, err := readHead(bufio.NewReader(conn))
	a.endedAt = time.Now()
	if err != nil || len(head) == 0 {
		return a
	}
	_, _ = fmt.Sscanf(head[0], "HTTP/1.1 %d", &a.status)
	for _, line := range head[1:] {
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Galenaridge-Server-Signature") {
			a.signature = strings.TrimSpace(value)
		}
	}
	if line := headProblem(head); line != "" {
		a.err = errNotHTTP(line)
	}
	s.add("answer %s %s via %s: %d %v after %d ms", k.name, a.id, a.address, a.status, a.err, a.endedAt.Sub(a.sentAt).Milliseconds())
	return a
}
