package balance

import "time"

// In a service with more requests than its servers can handle, a longer queue serves
// no more requests and delays every response past its latency objective. Requests
// that would wait too long are therefore refused. Requests of all routes share the
// queues, so less urgent requests may only use a part of the time that urgent ones
// can wait.

const (
	// slackTTL is the time for which the recorded slack of a priority is valid.
	slackTTL = 3 * time.Second
	// priorityReserve is the share of the slack that a request leaves free for each
	// more urgent priority in use, and the least share that it may use.
	priorityReserve = 0.15
	// crowdedSlack is the share of the slack that may be used before the reserves while the
	// servers are crowded: another request would use the room in time, so a response that
	// may be late is a loss. The known load of a server is a tenth of a second old, several
	// instances choose at the same time, and the time that requests take varies, so a wait
	// may last several times as long as expected.
	crowdedSlack = 0.3
	// healthySlack is the share of the slack that a request may wait on a healthy server if
	// all servers with a shorter queue are suspected. A suspected server fails at least every
	// second request. A wait of the whole slack would often end late, and delay more urgent
	// requests.
	healthySlack = 0.8
	// crowdedShare is the share of choices without a free server from which on the servers
	// are crowded, crowdedWeight the weight of one choice in the moving average. Fluctuations
	// of a load that the servers can handle stay far below it.
	crowdedShare  = 0.5
	crowdedWeight = 0.02
	// maxPriorities is the number of distinct priorities; higher values count as the
	// last one.
	maxPriorities = 8
)

// slack is the shortest time that recent requests of one priority can wait and still
// meet their latency objective.
type slack struct {
	wait       time.Duration
	recordedAt time.Time
}

// queueWaitLimits holds the slack of each priority.
type queueWaitLimits struct {
	slacks [maxPriorities]slack
	// crowded is the moving average of the share of choices for which no healthy server was
	// free: all had longer waits than requests may have while the servers are crowded.
	crowded float64
}

// observeChoice records whether a healthy server was free for a request.
func (l *queueWaitLimits) observeChoice(free bool) {
	share := 1.0
	if free {
		share = 0
	}
	l.crowded += crowdedWeight * (share - l.crowded)
}

// usableSlack returns the share of its slack that the most urgent request may be expected
// to wait. In a short burst it is all, since the queue soon ends. While the servers are
// crowded, a longer queue serves no more requests.
func (l *queueWaitLimits) usableSlack() float64 {
	return 1 - (1-crowdedSlack)*min(l.crowded/crowdedShare, 1)
}

// waitLimit holds the longest time that a request may wait for a slot now, while the servers
// are not crowded, on a healthy server if all servers with a shorter queue are suspected, and
// while the servers are crowded.
type waitLimit struct {
	now     time.Duration
	calm    time.Duration
	healthy time.Duration
	crowded time.Duration
}

// limit records the slack of a request and returns how long it may wait.
func (l *queueWaitLimits) limit(now time.Time, priority int, requestSlack time.Duration) waitLimit {
	requestSlack = max(requestSlack, 0)
	priority = min(max(priority, 0), maxPriorities-1)
	if s := &l.slacks[priority]; requestSlack <= s.wait || now.Sub(s.recordedAt) > slackTTL {
		*s = slack{wait: requestSlack, recordedAt: now}
	}
	wait, reserved := requestSlack, 0.0
	for i := range priority {
		if s := l.slacks[i]; !s.recordedAt.IsZero() && now.Sub(s.recordedAt) <= slackTTL {
			wait = min(wait, s.wait)
			reserved += priorityReserve
		}
	}
	return waitLimit{
		now:     time.Duration(max(l.usableSlack()-reserved, priorityReserve) * float64(wait)),
		calm:    time.Duration(max(1-reserved, priorityReserve) * float64(wait)),
		healthy: time.Duration(healthySlack * max(1-reserved, priorityReserve) * float64(wait)),
		crowded: time.Duration(max(crowdedSlack-reserved, priorityReserve) * float64(wait)),
	}
}

// of returns how long a request may wait, and how long on a healthy server if all servers with
// a shorter queue are suspected. Without customers, nobody competes for the room that shorter
// queues leave, and a late response is still of use.
func (l waitLimit) of(options PickOptions) (wait, onHealthy time.Duration) {
	switch {
	case !options.HasCustomers:
		return l.calm, l.calm
	case options.Idempotent || options.Reserve > 0:
		return l.now, l.now
	default:
		return l.now, max(l.healthy, l.now)
	}
}
