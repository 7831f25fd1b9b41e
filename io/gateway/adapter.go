package gateway

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/io/caller/pipeline"
	"galenaridge/io/setting"
	"galenaridge/io/upstream"
)

// Counter is incremented by one for each call to the store.
type Counter interface{ Inc() }

// Directory returns instance addresses for callers, and the readiness of this
// instance.
type Directory interface {
	// AddressesFor returns the addresses assigned to a caller in a failure domain, and
	// how long the caller may cache them.
	AddressesFor(domain fleet.Domain) (addresses []fleet.Address, ttl time.Duration)
	// UnreadyReason returns why this instance is not ready, empty if it is.
	UnreadyReason() string
}

// Adapter creates the parts that depend on a platform: settings, store client,
// header formats and directory routes.
type Adapter interface {
	// LoadSettings reads the settings, at the start and after changes.
	LoadSettings() (setting.Gateway, error)
	// NewStore returns a client of the platform's store that increments calls for
	// each call.
	NewStore(address fleet.Address, clock clockwork.Clock, log logrus.FieldLogger, calls Counter) follow.Store
	CallerHeaderParser() pipeline.HeaderParser
	ServerHeaderCodec() upstream.HeaderCodec
	// RegisterDirectory adds the HTTP routes for the address requests of callers and
	// for readiness checks.
	RegisterDirectory(app *fiber.App, directory Directory)
}
