package logging

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
)

// New returns a logger that writes JSON lines of the given level and above.
func New(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}

// FailureLog logs the failures of one activity. Consecutive failures form a run.
// Each message is logged once in a run, and so is the end of the run. It is safe
// for concurrent use.
type FailureLog struct {
	log      logrus.FieldLogger
	clock    fleet.Clock
	activity string

	mu sync.Mutex
	// loggedMessages are the messages logged in the current run of failures.
	loggedMessages map[string]bool
	// failingSince is the time of the first failure of the current run; it is zero
	// if there is none.
	failingSince time.Time
	// failures counts all failures of the current run, logged or not.
	failures int
}

// maxLoggedMessages bounds the different messages logged in one run of failures, in
// case the error text contains a value that changes with each failure.
const maxLoggedMessages = 8

// NewFailureLog returns a log of the failures of one activity, whose name begins
// each message.
func NewFailureLog(log logrus.FieldLogger, clock fleet.Clock, activity string) *FailureLog {
	return &FailureLog{log: log, clock: clock, activity: activity, loggedMessages: make(map[string]bool)}
}

// RecordFailure counts a failure, and logs it unless the current run already
// contains its message. Alternating failures belong to the same run.
func (l *FailureLog) RecordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	message := err.Error()
	if l.failingSince.IsZero() {
		l.failingSince = l.clock.Now()
	}
	l.failures++
	if l.loggedMessages[message] || len(l.loggedMessages) >= maxLoggedMessages {
		return
	}
	l.loggedMessages[message] = true
	l.log.WithField("error", message).Warn(l.activity + " failed")
}

// RecordSuccess ends the current run of failures, if there is one, and logs its
// length and duration.
func (l *FailureLog) RecordSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failingSince.IsZero() {
		return
	}
	l.log.WithField("failures", l.failures).
		WithField("seconds", l.clock.Now().Sub(l.failingSince).Seconds()).
		Info(l.activity + " works again")
	l.endRun()
}

// FailingSince returns the time of the first failure of the current run, and false
// if there is none.
func (l *FailureLog) FailingSince() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failingSince, !l.failingSince.IsZero()
}

// Reset ends a run of failures without a log line, for example when the activity is
// switched off.
func (l *FailureLog) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRun()
}

func (l *FailureLog) endRun() {
	clear(l.loggedMessages)
	l.failingSince = time.Time{}
	l.failures = 0
}
