package snapshot

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
)

const (
	path = "/snapshot"
	// paramKnown is the query parameter with the revision that the requesting
	// instance already has.
	paramKnown = "known"
	// replyTimeout limits the wait for the control goroutine.
	replyTimeout = 200 * time.Millisecond
)

// Source provides the store copy of this instance.
type Source interface {
	// ListingSince returns the changes of the copy after a revision, or the whole
	// copy. Its revision is 0 if there is no copy yet.
	ListingSince(ctx context.Context, known fleet.Revision) (follow.Listing, error)
}

// Register adds the snapshot route to an application. The route replies with
// status 503 while there is no copy.
func Register(app *fiber.App, source Source, log logrus.FieldLogger) {
	app.Get(path, func(c fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
		defer cancel()
		known, err := strconv.ParseUint(c.Query(paramKnown), 10, 64)
		if err != nil {
			return c.SendStatus(fiber.StatusBadRequest)
		}
		listing, err := source.ListingSince(ctx, fleet.Revision(known))
		if err != nil || listing.Revision == 0 {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		body, err := json.Marshal(listing)
		if err != nil {
			log.WithError(err).Error("cannot encode the snapshot")
			return c.SendStatus(fiber.StatusInternalServerError)
		}
		return c.Send(body)
	})
}
