package gateway

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/io/caller/pipeline"
	"galenaridge/io/setting"
	"galenaridge/io/upstream"
)

// Counter counts calls.
type Counter interface{ Inc() }

// Directory says where callers should connect.
type Directory interface {
	AddressesFor(domain fleet.Domain) (addresses []fleet.Address, keep time.Duration)
	Ready() bool
}

// Adapter speaks the protocol of a platform.
type Adapter interface {
	// LoadSettings reads the settings again, as after a change.
	LoadSettings() (setting.Gateway, error)
	NewStore(address fleet.Address, clock fleet.Clock, log logrus.FieldLogger, calls Counter) follow.Store
	CallerDialect() pipeline.HeaderParser
	ServerDialect() upstream.HeaderCodec
	// RegisterDirectory adds the calls of callers that ask where to connect and of checks
	// of readiness.
	RegisterDirectory(app *fiber.App, directory Directory)
}
