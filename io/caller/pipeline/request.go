package pipeline

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"

	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/io/http1"
)

// received is a request that was read.
type received struct {
	Request exchange.Request
	// last says that the caller sends no more on this connection.
	last bool
}

// readRequest reads one whole request, or returns the answer to a wrong one.
func (c *conn) readRequest() (received, *pending) {
	limits := c.options.Policy.Limits().withDefaults()
	started := c.options.Clock.Now()
	_ = c.socket.SetReadDeadline(started.Add(limits.HeaderTimeout))
	raw := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(raw)
	raw.Header.DisableNormalizing()
	if err := raw.Header.Read(c.reader); err != nil {
		return received{}, c.unreadable(err)
	}
	if len(raw.Header.RawHeaders()) > limits.MaxHeaderBytes {
		return received{}, wrong(exchange.HeaderTooLarge, "the header is too large")
	}
	if problem := checkHeader(&raw.Header); problem != "" {
		return received{}, wrong(exchange.BadRequest, problem)
	}
	id, left, err := c.options.HeaderParser.ParseRequest(&raw.Header)
	if err != nil {
		return received{}, wrong(exchange.BadRequest, err.Error())
	}
	_ = c.socket.SetReadDeadline(c.options.Clock.Now().Add(bodyWait))
	if err := c.readBody(raw, limits.MaxBodyBytes); err != nil {
		return received{}, c.unreadable(err)
	}
	request := exchange.Request{
		ID:       id,
		Host:     string(raw.Header.Peek(fasthttp.HeaderHost)),
		Method:   string(raw.Header.Method()),
		URI:      string(raw.Header.RequestURI()),
		Deadline: started.Add(left),
		Headers:  http1.CopyHeaders(raw.Header.AllInOrder(), anyHeader),
	}
	if body := raw.Body(); len(body) > 0 {
		request.Body = bytes.Clone(body)
	}
	return received{Request: request, last: raw.Header.ConnectionClose()}, nil
}

func anyHeader([]byte) bool { return true }

// readBody reads the body, after the interim answer if the caller waits for it.
func (c *conn) readBody(raw *fasthttp.Request, limit int) error {
	if raw.MayContinue() {
		if c.busy() {
			return errors.New("a request that waits to continue cannot be sent behind another")
		}
		if _, err := c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	if raw.Header.ContentLength() > limit {
		return fasthttp.ErrBodyTooLarge
	}
	return raw.ContinueReadBody(c.reader, limit, false)
}

// unreadable returns the answer to a request that could not be read, and gives
// up the earlier ones if the caller went away.
func (c *conn) unreadable(err error) *pending {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		return wrong(exchange.HeaderTooLarge, "the header is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return wrong(exchange.TooLarge, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &network) && network.Timeout():
		return wrong(exchange.SlowRequest, "the request did not arrive in time")
	default:
		return wrong(exchange.BadRequest, "the request is not valid HTTP/1.1")
	}
}

// wrong returns the answer to a mistake of the caller, which ends the
// connection: what follows on it may not be a request.
func wrong(code exchange.Code, message string) *pending {
	done := make(chan struct{})
	close(done)
	return &pending{done: done, response: exchange.Refuse(code, message), last: true}
}

// checkHeader returns what is wrong with a header that the parser accepts but
// that a server may read differently, which would let a caller hide a request
// in another.
func checkHeader(header *fasthttp.RequestHeader) string {
	if string(header.Protocol()) != "HTTP/1.1" {
		return "the protocol must be HTTP/1.1"
	}
	uri := header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' || bytes.ContainsAny(uri, "#\x00") {
		return "the target must be a path"
	}
	for _, b := range uri {
		if b <= ' ' || b >= 0x7f {
			return "the target has a byte that is not allowed"
		}
	}
	return checkFields(header.RawHeaders())
}

// checkFields checks the lines of a header.
func checkFields(raw []byte) string {
	hosts, lengths, encodings := 0, 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !validToken(name) {
			return "a header line is not valid"
		}
		value = bytes.Trim(value, " \t")
		if bytes.ContainsAny(value, "\r\x00") {
			return "a header value has a byte that is not allowed"
		}
		switch strings.ToLower(string(name)) {
		case "host":
			hosts++
		case "content-length":
			lengths++
			if !digits(value) {
				return "the length is not a number"
			}
		case "transfer-encoding":
			encodings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return "the transfer encoding is not supported"
			}
		}
	}
	switch {
	case hosts != 1:
		return "there must be one host"
	case lengths > 1, encodings > 1, lengths+encodings > 1:
		return "the length of the body is ambiguous"
	default:
		return ""
	}
}

func digits(value []byte) bool {
	for _, b := range value {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(value) > 0
}

// validToken reports whether a header name has only the characters of a token.
func validToken(name []byte) bool {
	for _, b := range name {
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !letter && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(b)) {
			return false
		}
	}
	return len(name) > 0
}
