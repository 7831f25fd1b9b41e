package peer

import (
	"errors"

	"github.com/rotisserie/eris"
)

// ErrNotAccepted is returned when a successor refuses the records of a handover.
var ErrNotAccepted = errors.New("successor did not accept the records")

// wrap adds the name of this package and the failed action to an error.
func wrap(err error, action string) error { return eris.Wrap(err, "peer: cannot "+action) }
