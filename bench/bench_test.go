package bench

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/client"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/standin/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSchedule guards against arrivals that are out of order, too few or too
// many, so that the actual load differs from the plan.
func TestSchedule(t *testing.T) {
	mix := []Kind{{Weight: 1}}
	tests := []struct {
		name        string
		plan        Plan
		minArrivals int
		maxArrivals int
		maxOffset   time.Duration
	}{
		{"even", Plan{Steps: []Step{{time.Second, 100}}, Regular: true}, 99, 100, time.Second},
		{"two rates", Plan{Steps: []Step{{time.Second, 100}, {time.Second, 200}}, Regular: true}, 299, 300, 2 * time.Second},
		{"step without arrivals", Plan{Steps: []Step{{time.Second, 100}, {time.Second, 0}, {time.Second, 100}}, Regular: true}, 199, 200, 3 * time.Second},
		{"below one per second", Plan{Steps: []Step{{10 * time.Second, 0.5}}, Regular: true}, 4, 5, 10 * time.Second},
		{"random", Plan{Steps: []Step{{10 * time.Second, 1000}}, Seed: 3}, 9700, 10300, 10 * time.Second},
		{"maximum number of requests", Plan{Steps: []Step{{time.Second, 1000}}, MaxRequests: 7}, 7, 7, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.plan.Mix = mix
			plan, err := test.plan.withDefaults()
			require.NoError(t, err)
			s := newSchedule(plan)
			arrivals, previous := 0, time.Duration(0)
			for {
				offset, _, ok := s.next()
				if !ok {
					break
				}
				require.GreaterOrEqual(t, offset, previous)
				previous = offset
				arrivals++
			}
			assert.GreaterOrEqual(t, arrivals, test.minArrivals)
			assert.LessOrEqual(t, arrivals, test.maxArrivals)
			assert.LessOrEqual(t, previous, test.maxOffset)
		})
	}
}

// TestInvalidPlan guards against a plan without bounds, which could load the
// machine for hours.
func TestInvalidPlan(t *testing.T) {
	step, kind := []Step{{time.Second, 1}}, []Kind{{Weight: 1}}
	tests := []struct {
		name string
		plan Plan
	}{
		{"empty", Plan{}},
		{"no mix", Plan{Steps: step}},
		{"no steps", Plan{Mix: kind}},
		{"no weight", Plan{Steps: step, Mix: []Kind{{}}}},
		{"negative weight", Plan{Steps: step, Mix: []Kind{{Weight: 2}, {Weight: -1}}}},
		{"negative rate", Plan{Steps: []Step{{time.Second, -1}}, Mix: kind}},
		{"too long", Plan{Steps: []Step{{time.Hour, 1}}, Mix: kind}},
		{"too many requests", Plan{Steps: step, Mix: kind, MaxRequests: requestsUpperBound + 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Run(t.Context(), Options{Plan: test.plan, Caller: callerFunc(nil)})
			require.ErrorIs(t, err, errInvalidPlan)
		})
	}
}

// callerFunc is a Caller that returns the result of a function.
type callerFunc func(request client.Request) client.Result

func (f callerFunc) Do(_ context.Context, request client.Request) (client.Result, error) {
	return f(request), nil
}

// correctResponse returns the result of a request to the stand-in server.
func correctResponse(request client.Request) client.Result {
	headers := map[string]string{}
	for _, h := range request.Headers {
		headers[h.Name] = h.Value
	}
	callerID := headers[server.HeaderCaller]
	body, _ := json.Marshal(server.ResponseBody{Caller: callerID, ReceivedBytes: int64(len(request.Body))})
	if size, err := strconv.Atoi(headers[server.HeaderBodySize]); err == nil {
		body = nil
		for len(body) < size {
			body = append(body, callerID+"\n"...)
		}
		body = body[:size]
	}
	return client.Result{
		Outcome: fleet.Done, Status: 200, Body: body, Key: request.Key, SendCount: 1,
		Headers: []exchange.Header{{Name: server.HeaderCaller, Value: callerID}, {Name: server.HeaderBodyDigest, Value: server.Digest(body)}},
	}
}

// withHeader replaces the value of the header at an index.
func withHeader(r client.Result, i int, value string) client.Result {
	r.Headers[i].Value = value
	return r
}

// TestCheck guards against a check that accepts a wrong or truncated response.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		kind   Kind
		modify func(r client.Result) client.Result
		want   error
	}{
		{"json", Kind{}, func(r client.Result) client.Result { return r }, nil},
		{"json for a request with a body", Kind{RequestBodyBytes: 10}, func(r client.Result) client.Result { return r }, nil},
		{"requested size", Kind{ResponseBodyBytes: 1000}, func(r client.Result) client.Result { return r }, nil},
		{"other caller", Kind{}, func(r client.Result) client.Result { return withHeader(r, 0, "c2") }, errCallerMismatch},
		{"flipped byte", Kind{ResponseBodyBytes: 1000}, func(r client.Result) client.Result {
			r.Body[500] ^= 1
			return r
		}, errDigestMismatch},
		{"truncated", Kind{ResponseBodyBytes: 1000}, func(r client.Result) client.Result {
			r.Body = r.Body[:999]
			return withHeader(r, 1, server.Digest(r.Body))
		}, errLengthMismatch},
		{"other body of the same size", Kind{ResponseBodyBytes: 1000}, func(r client.Result) client.Result {
			r.Body = make([]byte, 1000)
			return withHeader(r, 1, server.Digest(r.Body))
		}, errBodyMismatch},
		{"other json", Kind{}, func(r client.Result) client.Result {
			r.Body = []byte(`{"caller":"c2"}`)
			return withHeader(r, 1, server.Digest(r.Body))
		}, errBodyMismatch},
		{"request body lost", Kind{RequestBodyBytes: 10}, func(r client.Result) client.Result {
			r.Body = []byte(`{"caller":"c1","received":9}`)
			return withHeader(r, 1, server.Digest(r.Body))
		}, errBodyMismatch},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.ErrorIs(t, checkResponse(test.kind, "c1", test.modify(correctResponse(newRequest(test.kind, "c1")))), test.want)
		})
	}
}

// TestVerify guards against a verdict that misses a request that ran twice or a
// false result.
func TestVerify(t *testing.T) {
	tests := []struct {
		name   string
		result ProtectedResult
		starts int
		ok     bool
		want   string
	}{
		{"done once", ProtectedResult{Outcome: fleet.Done, Status: 200}, 1, true, "0 unknown that ran"},
		{"done twice", ProtectedResult{Outcome: fleet.Done, Status: 200}, 2, false, "1 run twice"},
		{"done, never ran", ProtectedResult{Outcome: fleet.Done, Status: 200}, 0, false, "1 false done"},
		{"shed by the server", ProtectedResult{Outcome: fleet.Done, Status: 503}, 0, true, "0 false done"},
		{"not run", ProtectedResult{Outcome: fleet.NotRun}, 0, true, "0 false not-run"},
		{"not run, but ran", ProtectedResult{Outcome: fleet.NotRun}, 1, false, "1 false not-run"},
		{"unknown, ran", ProtectedResult{}, 1, true, "1 unknown that ran"},
		{"unknown, did not run", ProtectedResult{}, 0, true, "1 unknown that did not"},
		{"unknown, ran twice", ProtectedResult{}, 2, false, "1 run twice"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := Report{ProtectedResults: map[fleet.Key]ProtectedResult{"k": test.result}}
			v := r.Verify(map[fleet.Key]int{"k": test.starts, "other": 5})
			assert.Equal(t, test.ok, v.OK())
			assert.Contains(t, v.String(), test.want)
		})
	}
}

// TestRunCounts guards against requests that are missing from the counts or
// counted under another outcome.
func TestRunCounts(t *testing.T) {
	plan := Plan{
		Steps: []Step{{100 * time.Millisecond, 2000}}, Regular: true, MaxRequests: 150,
		Mix: []Kind{{Weight: 1, Service: "svc", Class: "a", Protected: true}},
	}
	tests := []struct {
		name    string
		respond func(client.Request) client.Result
		want    RequestCounts
		codes   map[exchange.Code]int
	}{
		{"good", correctResponse, RequestCounts{Offered: 150, Done: 150, Good: 150}, map[exchange.Code]int{}},
		{"wrong", func(q client.Request) client.Result { return withHeader(correctResponse(q), 0, "x") }, RequestCounts{Offered: 150, Done: 150, Wrong: 150}, map[exchange.Code]int{}},
		{"failing server", func(q client.Request) client.Result {
			return client.Result{Outcome: fleet.Done, Status: 500, Key: q.Key}
		}, RequestCounts{Offered: 150, Done: 150}, map[exchange.Code]int{}},
		{"refused", func(q client.Request) client.Result {
			return client.Result{Outcome: fleet.NotRun, Code: exchange.Overloaded, Key: q.Key}
		}, RequestCounts{Offered: 150, NotRun: 150}, map[exchange.Code]int{exchange.Overloaded: 150}},
		{"unknown", func(q client.Request) client.Result {
			return client.Result{Code: client.NoAnswer, Key: q.Key}
		}, RequestCounts{Offered: 150, Unknown: 150}, map[exchange.Code]int{client.NoAnswer: 150}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, err := Run(t.Context(), Options{Plan: plan, Caller: callerFunc(test.respond)})
			require.NoError(t, err)
			sum := RequestCounts{}
			for _, s := range r.Seconds {
				sum.Offered += s.Offered
				sum.Done += s.Done
			}
			assert.Equal(t, test.want.Offered, sum.Offered)
			assert.Equal(t, test.want.Done, sum.Done)
			r.Total.MaxLatency = 0
			assert.Equal(t, test.want, r.Total)
			assert.Len(t, r.ProtectedResults, 150)
			assert.Equal(t, test.codes, r.Groups[0].Codes)
			assert.Contains(t, r.Table(), "150 requests")
			_, err = json.Marshal(r)
			require.NoError(t, err)
		})
	}
}

// TestStallShowsInLatencies guards against a closed loop. Requests that are
// scheduled during a stall must count the time from their scheduled start, even
// if the limit of concurrent requests delays them.
func TestStallShowsInLatencies(t *testing.T) {
	tests := []struct {
		name        string
		maxInFlight int
	}{
		{"no limit reached", 1000},
		{"limit reached", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			startedAt := time.Now()
			stall := callerFunc(func(q client.Request) client.Result {
				time.Sleep(time.Until(startedAt.Add(300 * time.Millisecond)))
				return correctResponse(q)
			})
			r, err := Run(t.Context(), Options{Caller: stall, Plan: Plan{
				Steps: []Step{{300 * time.Millisecond, 200}}, Regular: true, MaxInFlight: test.maxInFlight, Mix: []Kind{{Weight: 1}},
			}})
			require.NoError(t, err)
			answered := r.Groups[0].AnsweredLatencies
			assert.InDelta(t, 150, answered.P50.Std().Milliseconds(), 60)
			assert.GreaterOrEqual(t, answered.P99.Std(), 250*time.Millisecond)
		})
	}
}

// TestStopAndProgress guards against a run that continues after its context was
// canceled, and against a run that reports no progress.
func TestStopAndProgress(t *testing.T) {
	tests := []struct {
		name       string
		stopAfter  time.Duration
		maxOffered int
	}{
		{"at once", 0, 1},
		{"during the run", 50 * time.Millisecond, 500},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.stopAfter)
			defer cancel()
			progressCalls := 0
			r, err := Run(ctx, Options{
				Caller:           callerFunc(correctResponse),
				Plan:             Plan{Steps: []Step{{time.Minute, 1000}}, Mix: []Kind{{Weight: 1}}},
				ProgressInterval: 10 * time.Millisecond,
				Progress: func(p Progress) {
					progressCalls++
					assert.NotEmpty(t, p.String())
				},
			})
			require.NoError(t, err)
			assert.LessOrEqual(t, r.Total.Offered, test.maxOffered)
			assert.Equal(t, test.stopAfter > 0, progressCalls > 0)
		})
	}
}
