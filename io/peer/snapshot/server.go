package snapshot

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/route"
)

// replyTimeout limits the wait for the control goroutine.
const replyTimeout = 200 * time.Millisecond

// Source provides the store copy of this instance.
type Source interface {
	// ChangesSince returns the changes of the server listing after a position, or
	// follow.ErrCompacted if some are no longer stored. The position of the result is zero
	// if there is no listing yet.
	ChangesSince(ctx context.Context, known fleet.Position) (follow.Listing, error)
	// Listing returns the complete server listing. Its position is zero if there is none.
	Listing() follow.Listing
	// Configuration returns the active configuration, or nil if there is none.
	Configuration() *route.Document
}

// Timer is a clock that can also wait.
type Timer interface {
	fleet.Clock
	// Sleep waits for a duration. It fails if the context ends first.
	Sleep(ctx context.Context, d time.Duration) error
}

// Options configures the routes of Register.
type Options struct {
	Source Source
	Clock  Timer
	Log    logrus.FieldLogger
	// LinkSpeed is the speed of the network link; zero if it is not known.
	LinkSpeed Mbps
}

// handler serves the copy of this instance.
type handler struct {
	options Options
	library *library
	pacer   *pacer
}

// Register adds the routes for the copy of this instance to an application. They reply
// with status 503 while there is no copy, and to a part that would exceed the share of the
// link.
func Register(app *fiber.App, options Options) {
	h := &handler{
		options: options,
		library: newLibrary(options.Source, options.Clock),
		pacer:   &pacer{clock: options.Clock, linkSpeed: options.LinkSpeed},
	}
	app.Get(pathChanges, h.serveChanges)
	app.Get(pathDocument, h.servePart)
}

func (h *handler) serveChanges(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	known, err := fleet.ParsePosition(c.Query(paramKnown))
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	changes, err := h.options.Source.ChangesSince(ctx, known)
	switch {
	case errors.Is(err, follow.ErrCompacted):
		return c.SendStatus(fiber.StatusGone)
	case err != nil || changes.Position.IsZero():
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	body, err := encode(toServers(changes))
	if err != nil {
		return h.fail(c, err)
	}
	return c.Send(body)
}

func (h *handler) servePart(c fiber.Ctx) error {
	kind, kindErr := follow.KindString(c.Query(paramKind))
	generation, generationErr := parseGeneration(c.Query(paramGeneration))
	offset, offsetErr := strconv.ParseUint(c.Query(paramOffset), 10, 31)
	if errors.Join(kindErr, generationErr, offsetErr) != nil || kind == follow.Changes {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	found, exists, err := h.library.find(kind, generation)
	switch {
	case err != nil:
		return h.fail(c, err)
	case !exists:
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	start := int(offset)
	if found.generation != generation || start >= len(found.data) {
		start = 0
	}
	data := found.data[start:min(start+partBytes, len(found.data))]
	wait, accepted := h.pacer.reserve(len(data))
	if !accepted {
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	if wait > 0 {
		if err := h.options.Clock.Sleep(context.Background(), wait); err != nil {
			return h.fail(c, err)
		}
	}
	c.Set(headerGeneration, formatGeneration(found.generation))
	c.Set(headerDigest, string(found.digest))
	c.Set(headerSize, strconv.Itoa(len(found.data)))
	c.Set(headerOffset, strconv.Itoa(start))
	c.Set(headerAge, h.options.Clock.Now().Sub(found.encodedAt).String())
	return c.Send(data)
}

func (h *handler) fail(c fiber.Ctx, err error) error {
	h.options.Log.WithError(err).Error("cannot send the store copy to a peer")
	return c.SendStatus(fiber.StatusInternalServerError)
}
