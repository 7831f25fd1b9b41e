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
	// headerAge is the age of the copy in milliseconds.
	headerAge = "Snapshot-Age"
	// answerLimit bounds the wait for the control goroutine.
	answerLimit = 200 * time.Millisecond
)

// Source gives the copy of this instance.
type Source interface {
	Listing(ctx context.Context) (follow.Listing, error)
}

// Register adds the route of snapshots to an application.
func Register(app *fiber.App, source Source, log logrus.FieldLogger) {
	app.Get(path, func(c fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
		defer cancel()
		listing, err := source.Listing(ctx)
		if err != nil || listing.Revision == 0 {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		c.Set(headerAge, strconv.FormatInt(listing.Age.Milliseconds(), 10))
		known, err := strconv.ParseUint(c.Query(paramKnown), 10, 64)
		if err == nil && fleet.Revision(known) >= listing.Revision {
			return c.SendStatus(fiber.StatusNoContent)
		}
		body, err := json.Marshal(listing)
		if err != nil {
			log.WithError(err).Error("the snapshot cannot be encoded")
			return c.SendStatus(fiber.StatusInternalServerError)
		}
		return c.Send(body)
	})
}
