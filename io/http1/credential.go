package http1

import (
	"strings"

	"github.com/valyala/fasthttp"

	"galenaridge/core/customer"
)

// authScheme is the scheme of the Authorization field that carries a key.
const authScheme = "Bearer"

// ParseCredential returns the hash of the key in the Authorization field of a request, or
// zero if there is none. Two fields give none: which of them counts would be a guess.
func ParseCredential(header *fasthttp.RequestHeader) customer.KeyHash {
	var credential customer.KeyHash
	fields := 0
	for name, value := range header.All() {
		if strings.EqualFold(string(name), fasthttp.HeaderAuthorization) {
			fields++
			credential = decodeCredential(string(value))
		}
	}
	if fields != 1 {
		return customer.KeyHash{}
	}
	return credential
}

// decodeCredential returns the hash of the key in a text of the form "Bearer KEY", or zero
// if the text has another form. The scheme may be written in any case, and any number of
// spaces may follow it. The key may have any other bytes.
func decodeCredential(text string) customer.KeyHash {
	scheme, key, found := strings.Cut(strings.Trim(text, " \t"), " ")
	key = strings.TrimLeft(key, " \t")
	if !found || !strings.EqualFold(scheme, authScheme) || key == "" {
		return customer.KeyHash{}
	}
	return customer.HashKey(key)
}
