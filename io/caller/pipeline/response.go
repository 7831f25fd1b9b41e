package pipeline

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/io/http1"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    exchange.Code `json:"code"`
	Outcome string        `json:"outcome"`
	Message string        `json:"message"`
}

// encodeResponse returns the encoded head of a response and the body that follows it. The
// head has room for a small body. The idle timeout is announced in Keep-Alive.
func encodeResponse(p *pendingResponse, idle time.Duration) (head, body []byte) {
	response := &p.response
	body = response.Body
	if response.Refused() {
		body = encodeRefusal(response)
	}
	hasBody := !p.isHead && !http1.StatusHasNoBody(response.Status)
	b := make([]byte, 0, 512+min(len(body), maxJoinedBytes))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(response.Status), 10)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(response.Status)...)
	b = append(b, "\r\n"...)
	if response.Refused() {
		b = append(b, "Content-Type: application/json\r\n"...)
	}
	if response.RetryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, response.RetryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if response.Refused() && response.Status == fasthttp.StatusUnauthorized {
		b = append(b, "WWW-Authenticate: Bearer\r\n"...)
	}
	b = appendHeaders(b, response.Headers, p.isHead)
	if hasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	if p.closeAfter {
		b = append(b, "Connection: close\r\n"...)
	} else {
		b = append(b, "Keep-Alive: timeout="...)
		b = strconv.AppendInt(b, int64(idle/time.Second), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if !hasBody {
		return b, nil
	}
	return b, body
}

// appendHeaders appends the headers of a server's response. Content-Length is
// skipped, except in a response to HEAD, in which it frames no body.
func appendHeaders(b []byte, headers []exchange.Header, isHead bool) []byte {
	for _, h := range headers {
		if strings.EqualFold(h.Name, fasthttp.HeaderContentLength) && !isHead {
			continue
		}
		b = append(b, h.Name...)
		b = append(b, ": "...)
		b = append(b, h.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

func encodeRefusal(response *exchange.Response) []byte {
	body, err := json.Marshal(refusalBody{
		Code:    response.Code,
		Outcome: response.Outcome.String(),
		Message: response.Message,
	})
	if err != nil {
		// Unreachable: strings always encode.
		return []byte(`{"code":"` + string(response.Code) + `"}`)
	}
	return body
}
