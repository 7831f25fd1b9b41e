package peer

import (
	"errors"

	"github.com/rotisserie/eris"
)

// ErrNotAccepted means that a successor did not take records.
var ErrNotAccepted = errors.New("successor did not accept the records")

// wrap turns an error of gRPC into one of this package.
func wrap(err error, doing string) error { return eris.Wrap(err, "peer: cannot "+doing) }
