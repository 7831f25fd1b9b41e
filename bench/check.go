package bench

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"galenaridge/client"
	"galenaridge/standin/server"
)

var (
	errCaller = eris.New("the answer is for another caller")
	errLength = eris.New("the body has another length than was asked for")
	errDigest = eris.New("the body does not have its digest")
	errBody   = eris.New("the body holds another caller's answer")
)

// check returns what is wrong with a finished answer of a stand-in server.
func check(kind Kind, caller string, result client.Result) error {
	if result.Header(server.HeaderCaller) != caller {
		return errCaller
	}
	if server.Digest(result.Body) != result.Header(server.HeaderBodyDigest) {
		return errDigest
	}
	if kind.ResponseBodyBytes > 0 {
		return checkSized(kind, caller, result.Body)
	}
	var answer server.Answer
	if json.Unmarshal(result.Body, &answer) != nil || answer.Caller != caller || answer.Received != int64(kind.RequestBodyBytes) {
		return errBody
	}
	return nil
}

// checkSized checks a body that repeats the caller's id.
func checkSized(kind Kind, caller string, body []byte) error {
	if len(body) != kind.ResponseBodyBytes {
		return errLength
	}
	unit := []byte(caller + "\n")
	for len(body) > 0 {
		n := min(len(unit), len(body))
		if !bytes.Equal(body[:n], unit[:n]) {
			return errBody
		}
		body = body[n:]
	}
	return nil
}
