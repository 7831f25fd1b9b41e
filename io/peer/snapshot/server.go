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
	// paramKnown is the revision that the asking instance has.
	paramKnown = "known"
	// answerLimit bounds the wait for the control goroutine.
	answerLimit = 200 * time.Millisecond
)

// Source gives the copy of this instance.
type Source interface {
	// ListingSince returns what the copy has beyond a revision.
	ListingSince(ctx context.Context, known fleet.Revision) (follow.Listing, error)
}

// Register adds the route of snapshots to an application.
func Register(app *fiber.App, source Source, log logrus.FieldLogger) {
	app.Get(path, func(c fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
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
			log.WithError(err).Error("the snapshot cannot be encoded")
			return c.SendStatus(fiber.StatusInternalServerError)
		}
		return c.Send(body)
	})
}
