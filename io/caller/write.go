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

// statusClasses holds the metric labels of server responses by the first digit of
// their status.
var statusClasses = [...]string{2: "2xx", 3: "3xx", 4: "4xx", 5: "5xx"}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    exchange.Code `json:"code"`
	Outcome fleet.Outcome `json:"outcome"`
	// Retry reports whether the caller may retry the request with a new key.
	Retry   bool   `json:"retry"`
	AfterMS int64  `json:"after_ms"`
	Message string `json:"message"`
}

func refuse(code exchange.Code, message string) *exchange.Response {
	response := exchange.Refuse(code, message)
	return &response
}

// retryable reports whether the caller may retry a refused request with a new key:
// the request did not run, and the refusal was not caused by an error in it.
func retryable(response exchange.Response) bool {
	return response.Outcome == fleet.NotRun && response.Status == fasthttp.StatusServiceUnavailable
}

// writeResponse encodes the whole response to a request and returns its metric
// labels.
func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, result Result) responseLabels {
	response := result.Response
	if !response.Refused() && (response.Status < 200 || response.Status > 599) {
		response = exchange.Refuse(exchange.UpstreamLost, "the answer has no valid status")
	}
	header := &ctx.Response.Header
	s.writeCommonHeaders(ctx, response.Outcome)
	if result.Token != "" {
		header.Set(headerToken, result.Token)
	}
	if result.Key != "" {
		header.Set(headerKey, string(result.Key))
	}
	if response.Refused() {
		writeRefusal(ctx, response)
		return responseLabels{response.Outcome, string(response.Code)}
	}
	ctx.SetStatusCode(response.Status)
	for _, h := range response.Headers {
		if isForwarded(h.Name, ctx.IsHead()) {
			header.Add(h.Name, h.Value)
		}
	}
	ctx.SetBody(response.Body)
	return responseLabels{response.Outcome, statusClasses[response.Status/100]}
}

// writeCommonHeaders sets the headers of every response.
func (s *Server) writeCommonHeaders(ctx *fasthttp.RequestCtx, outcome fleet.Outcome) {
	ctx.Response.Header.Set(headerOutcome, outcome.String())
	if s.options.Stopping.Stopping() {
		ctx.Response.Header.Set(headerMove, "1")
		ctx.SetConnectionClose()
	}
}

// isForwarded reports whether a header of a server's response is sent to the
// caller. The front end frames the body itself. Content-Length of a response to HEAD
// is forwarded, since it frames no body.
func isForwarded(name string, isHead bool) bool {
	var buffer http1.NameBuffer
	switch lower := http1.ToLower(&buffer, name); string(lower) {
	case "connection", "transfer-encoding", "trailer":
		return false
	case "content-length":
		return isHead
	default:
		return !bytes.HasPrefix(lower, []byte(protocolHeaderPrefix))
	}
}

// writeRefusal sets the status, the JSON body and Retry-After of a refusal.
func writeRefusal(ctx *fasthttp.RequestCtx, response exchange.Response) {
	body, err := json.Marshal(refusalBody{
		Code:    response.Code,
		Outcome: response.Outcome,
		Retry:   retryable(response),
		AfterMS: response.RetryAfter.Milliseconds(),
		Message: response.Message,
	})
	if err != nil {
		// Unreachable: strings, numbers and valid outcomes always encode.
		body = []byte(`{"code":"` + string(response.Code) + `"}`)
	}
	ctx.SetStatusCode(response.Status)
	ctx.Response.Header.SetContentType("application/json")
	if response.RetryAfter > 0 {
		seconds := (response.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	if response.Status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	ctx.SetBody(body)
}
