package caller

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/io/http1"
)

// statusClasses are the labels of answers of servers.
var statusClasses = [...]string{2: "2xx", 3: "3xx", 4: "4xx", 5: "5xx"}

// refusalBody is the JSON of a refusal.
type refusalBody struct {
	Code    exchange.Code `json:"code"`
	Outcome fleet.Outcome `json:"outcome"`
	// Retry reports whether the request may be sent again as a new one, with
	// a new key.
	Retry   bool   `json:"retry"`
	AfterMS int64  `json:"after_ms"`
	Message string `json:"message"`
}

func refuse(code exchange.Code, message string) *exchange.Response {
	response := exchange.Refuse(code, message)
	return &response
}

// retryable reports whether a refused request may be sent again as a new one:
// it never ran, and the refusal is no mistake of the caller.
func retryable(response exchange.Response) bool {
	return response.Outcome == fleet.NotRun && response.Status == fasthttp.StatusServiceUnavailable
}

// write sets the whole response of a request and returns its labels.
func (s *Server) write(ctx *fasthttp.RequestCtx, result Result) answer {
	response := result.Response
	if !response.Refused() && (response.Status < 200 || response.Status > 599) {
		response = exchange.Refuse(exchange.UpstreamLost, "the answer has no valid status")
	}
	header := &ctx.Response.Header
	s.writeCommon(ctx, response.Outcome)
	if result.Token != "" {
		header.Set(headerToken, result.Token)
	}
	if result.Key != "" {
		header.Set(headerKey, string(result.Key))
	}
	if response.Refused() {
		writeRefusal(ctx, response)
		return answer{response.Outcome, string(response.Code)}
	}
	ctx.SetStatusCode(response.Status)
	for _, h := range response.Headers {
		if passes(h.Name, ctx.IsHead()) {
			header.Add(h.Name, h.Value)
		}
	}
	ctx.SetBody(response.Body)
	return answer{response.Outcome, statusClasses[response.Status/100]}
}

// writeCommon sets the headers of every response.
func (s *Server) writeCommon(ctx *fasthttp.RequestCtx, outcome fleet.Outcome) {
	ctx.Response.Header.Set(headerOutcome, outcome.String())
	if s.options.Stopping.Stopping() {
		ctx.Response.Header.Set(headerMove, "1")
		ctx.SetConnectionClose()
	}
}

// passes reports whether a header of a server's response goes to the caller.
// The front end frames the message itself; the length in an answer to HEAD
// frames nothing.
func passes(name string, head bool) bool {
	var buffer http1.NameBuffer
	switch lower := http1.ToLower(&buffer, name); string(lower) {
	case "connection", "transfer-encoding", "trailer":
		return false
	case "content-length":
		return head
	default:
		return !bytes.HasPrefix(lower, []byte(ownHeaders))
	}
}

// writeRefusal sets the status, the JSON and Retry-After of a refusal.
func writeRefusal(ctx *fasthttp.RequestCtx, response exchange.Response) {
	body, err := json.Marshal(refusalBody{
		Code:    response.Code,
		Outcome: response.Outcome,
		Retry:   retryable(response),
		AfterMS: response.RetryAfter.Milliseconds(),
		Message: response.Message,
	})
	if err != nil {
		// Strings, numbers and a valid outcome always encode.
		body = []byte(`{"code":"` + string(response.Code) + `"}`)
	}
	ctx.SetStatusCode(response.Status)
	ctx.Response.Header.SetContentType("application/json")
	if response.RetryAfter > 0 {
		seconds := (response.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	ctx.SetBody(body)
}
