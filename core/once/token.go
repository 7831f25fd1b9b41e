package once

import (
	"errors"
	"time"

	"galenaridge/core/fleet"
)

// Token is the compact text form of a permission to start requests at a home.
type Token string

// Claims is what a token says. Only its home can tell whether it is genuine.
type Claims struct {
	Home    fleet.Member
	Service fleet.ServiceName
	// Expiry is measured from the start of the home, on the home's clock.
	Expiry time.Duration
}

// ErrMalformed means that a text is not a token.
var ErrMalformed = errors.New("malformed token")

// ParseHome reads the claims of a token without checking its MAC, so that any
// instance can forward a request to the home that the token names.
func ParseHome(token Token) (Claims, error) {
	return Claims{}, ErrMalformed
}
