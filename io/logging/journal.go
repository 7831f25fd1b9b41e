package logging

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
)

// New returns a logger that writes JSON lines.
func New(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}

// FailureLog logs a run of the same failure once, and its end once. Its methods may
// be called concurrently.
type FailureLog struct {
	log   logrus.FieldLogger
	clock fleet.Clock
	what  string

	mu sync.Mutex
	// logged are the messages of the present run of failures.
	logged   map[string]bool
	since    time.Time
	repeated int
}

// maxLogged bounds the different messages that are logged in one run of
// failures, for errors that carry something that changes each time.
const maxLogged = 8

// NewFailureLog returns a log of the failures of one activity.
func NewFailureLog(log logrus.FieldLogger, clock fleet.Clock, what string) *FailureLog {
	return &FailureLog{log: log, clock: clock, what: what, logged: make(map[string]bool)}
}

// RecordFailure logs the failure unless the present run of failures has had it
// already. Failures that take turns make one run.
func (o *FailureLog) RecordFailure(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	message := err.Error()
	if o.since.IsZero() {
		o.since = o.clock.Now()
	}
	o.repeated++
	if o.logged[message] || len(o.logged) >= maxLogged {
		return
	}
	o.logged[message] = true
	o.log.WithField("error", message).Warn(o.what + " failed")
}

// RecordSuccess logs the end of a run of failures, if there was one.
func (o *FailureLog) RecordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return
	}
	o.log.WithField("failures", o.repeated).
		WithField("seconds", o.clock.Now().Sub(o.since).Seconds()).
		Info(o.what + " works again")
	o.reset()
}

// FailingSince returns when the present run of failures began, and false if
// there is none.
func (o *FailureLog) FailingSince() (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since, !o.since.IsZero()
}

// Reset ends a run of failures without a log line, as when the activity is
// switched off.
func (o *FailureLog) Reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reset()
}

func (o *FailureLog) reset() {
	clear(o.logged)
	o.since = time.Time{}
	o.repeated = 0
}
