package pattern

import (
	"slices"
	"time"
)

// Tally counts the outcomes of requests.
type Tally struct {
	Asked   int
	Served  int
	Late    int
	Failed  int
	Refused int
	// OverQuota is the number of requests refused by the quota of their customer.
	OverQuota int
	// Worth is what the responses were worth to the callers.
	Worth float64
}

// Tally counts the requests for which matches returns true.
func (r *Result) Tally(matches func(Request) bool) Tally {
	var t Tally
	for _, request := range r.Requests {
		if !matches(request) {
			continue
		}
		t.Asked++
		switch request.Outcome {
		case Served:
			t.Served++
			t.Worth += request.worth
		case Late:
			t.Late++
			t.Worth += request.lateWorth
		case Failed:
			t.Failed++
		case Refused:
			t.Refused++
		case OverQuota:
			t.OverQuota++
		}
	}
	return t
}

// Add returns the sum of two tallies.
func (t Tally) Add(other Tally) Tally {
	return Tally{
		Asked: t.Asked + other.Asked, Served: t.Served + other.Served, Late: t.Late + other.Late,
		Failed: t.Failed + other.Failed, Refused: t.Refused + other.Refused, OverQuota: t.OverQuota + other.OverQuota,
		Worth: t.Worth + other.Worth,
	}
}

// MeanWorth returns the worth of a request on average.
func (t Tally) MeanWorth() float64 { return t.Worth / float64(max(t.Asked, 1)) }

// ServedShare returns the share of requests with a response, in time or late.
func (t Tally) ServedShare() float64 { return float64(t.Served+t.Late) / float64(max(t.Asked, 1)) }

// InTimeShare returns the share of the responses that were in time.
func (t Tally) InTimeShare() float64 { return float64(t.Served) / float64(max(t.Served+t.Late, 1)) }

// RefusedShare returns the share of requests that were refused.
func (t Tally) RefusedShare() float64 { return float64(t.Refused) / float64(max(t.Asked, 1)) }

// MostRepeatsOver returns the largest number of repeats of all instances in a window of
// repeatSpan, beyond a part of the first attempts. These are counted in the window, in the
// one before it or in the one half a window before it, whichever has most.
func (r *Result) MostRepeatsOver(ratio float64) float64 {
	most := 0.0
	for _, end := range r.repeats {
		for _, after := range []time.Duration{0, repeatSpan / 4, repeatSpan / 2, repeatSpan - time.Millisecond} {
			e := end + after
			counted := max(countWithin(r.firstAttempts, e), countWithin(r.firstAttempts, e-repeatSpan/2), countWithin(r.firstAttempts, e-repeatSpan))
			most = max(most, float64(countWithin(r.repeats, e))-ratio*float64(counted))
		}
	}
	return most
}

// countWithin returns the number of times, which are in order, in the window of repeatSpan
// that ends at a time.
func countWithin(times []time.Duration, end time.Duration) int {
	first, _ := slices.BinarySearch(times, end-repeatSpan+1)
	next, _ := slices.BinarySearch(times, end+1)
	return next - first
}
