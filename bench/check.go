package bench

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"galenaridge/client"
	"galenaridge/standin/server"
)

var (
	errCallerMismatch = eris.New("the response header has another caller id than the request")
	errLengthMismatch = eris.New("the response body does not have the requested length")
	errDigestMismatch = eris.New("the response body does not match its digest header")
	errBodyMismatch   = eris.New("the response body does not match the request")
)

// checkResponse returns an error if a response of the stand-in server does not
// belong to the request or is corrupt.
func checkResponse(kind Kind, callerID string, result client.Result) error {
	if result.Header(server.HeaderCaller) != callerID {
		return errCallerMismatch
	}
	if server.Digest(result.Body) != result.Header(server.HeaderBodyDigest) {
		return errDigestMismatch
	}
	if kind.ResponseBodyBytes > 0 {
		return checkSizedBody(kind, callerID, result.Body)
	}
	var response server.ResponseBody
	if json.Unmarshal(result.Body, &response) != nil || response.Caller != callerID || response.ReceivedBytes != int64(kind.RequestBodyBytes) {
		return errBodyMismatch
	}
	return nil
}

// checkSizedBody checks the length of a body and that it repeats the caller id,
// one per line.
func checkSizedBody(kind Kind, callerID string, body []byte) error {
	if len(body) != kind.ResponseBodyBytes {
		return errLengthMismatch
	}
	line := []byte(callerID + "\n")
	for len(body) > 0 {
		n := min(len(line), len(body))
		if !bytes.Equal(body[:n], line[:n]) {
			return errBodyMismatch
		}
		body = body[n:]
	}
	return nil
}
