package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id, kind, address string
	sentAt, endedAt   time.Time
	status            int
	body              string
	signature         string
	err               error
}

// client keeps connections open and asks a directory for addresses.
type client struct {
	record      *record
	region      string
	zone        string
	directories []string
	http        *http.Client

	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
}

func newClient(r *record, d deployment, directories []string) *client {
	return &client{record: r, region: d.region, zone: d.zones[0], directories: directories, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}}
}

// useDirectories makes the client ask other directories, as its nearest ones.
func (c *client) useDirectories(directories []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directories = directories
}

// address returns the address for the next request, empty if there is none.
func (c *client) address(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.expiresAt) {
		for _, directory := range c.directories {
			if found, ttl := c.resolve(ctx, directory); len(found) > 0 {
				c.addresses, c.expiresAt = found, time.Now().Add(ttl)
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

func (c *client) resolve(ctx context.Context, directory string) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	query := url.Values{"name": {hostName}, "region": {c.region}, "zone": {c.zone}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/v1/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, 0
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	var decoded struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if json.NewDecoder(response.Body).Decode(&decoded) != nil {
		return nil, 0
	}
	return decoded.Addresses, time.Duration(min(decoded.TTL, 5) * float64(time.Second))
}

const hostName = "ficu95.example"

var lastID atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// send sends one request and waits for its answer.
func (c *client) send(k kind) answer {
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	a := answer{id: nextID(), kind: k.name, sentAt: time.Now()}
	a.address = c.address(ctx)
	if a.address == "" {
		a.err, a.endedAt = fmt.Errorf("no address"), time.Now()
		return a
	}
	c.record.add("sent %s %s to %s", k.name, a.id, a.address)
	request, err := http.NewRequestWithContext(ctx, k.method, "http://"+a.address+k.prefix+"x", bytes.NewReader(make([]byte, k.bodyBytes)))
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	request.Host = hostName
	request.Header.Set("Galenaridge-Request-Id", a.id)
	request.Header.Set("Galenaridge-Deadline-Ms", fmt.Sprint(k.deadline.Milliseconds()))
	response, err := c.http.Do(request)
	if err == nil {
		a.status, a.signature = response.StatusCode, response.Header.Get("Galenaridge-Server-Signature")
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.body = string(text)
	}
	a.err, a.endedAt = err, time.Now()
	return a
}

// traffic sends requests of several kinds at their rates until it is stopped.
type traffic struct {
	clients []*client
	answers func(answer)
	stop    chan struct{}
	senders sync.WaitGroup
	pending sync.WaitGroup
}

func startTraffic(clients []*client, kinds []kind, answers func(answer)) *traffic {
	t := &traffic{clients: clients, answers: answers, stop: make(chan struct{})}
	for _, k := range kinds {
		t.senders.Add(1)
		go t.sendKind(k)
	}
	return t
}

func (t *traffic) sendKind(k kind) {
	defer t.senders.Done()
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second))):
		}
		t.pending.Add(1)
		go func() {
			defer t.pending.Done()
			t.answers(t.clients[rand.IntN(len(t.clients))].send(k))
		}()
	}
}

func (t *traffic) end() {
	close(t.stop)
	t.senders.Wait()
	t.pending.Wait()
}
