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

// Guards against a schedule that slows down or bunches, so that the load is
// not the one that a report names.
func TestSchedule(t *testing.T) {
	mix := []Kind{{Weight: 1}}
	tests := []struct {
		name  string
		plan  Plan
		least int
		most  int
		last  time.Duration
	}{
		{"even", Plan{Steps: []Step{{time.Second, 100}}, Regular: true}, 99, 100, time.Second},
		{"two rates", Plan{Steps: []Step{{time.Second, 100}, {time.Second, 200}}, Regular: true}, 299, 300, 2 * time.Second},
		{"pause between", Plan{Steps: []Step{{time.Second, 100}, {time.Second, 0}, {time.Second, 100}}, Regular: true}, 199, 200, 3 * time.Second},
		{"below one a second", Plan{Steps: []Step{{10 * time.Second, 0.5}}, Regular: true}, 4, 5, 10 * time.Second},
		{"random", Plan{Steps: []Step{{10 * time.Second, 1000}}, Seed: 3}, 9700, 10300, 10 * time.Second},
		{"limit", Plan{Steps: []Step{{time.Second, 1000}}, MaxRequests: 7}, 7, 7, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.plan.Mix = mix
			plan, err := test.plan.withDefaults()
			require.NoError(t, err)
			s := newSchedule(plan)
			n, before := 0, time.Duration(0)
			for {
				at, _, ok := s.next()
				if !ok {
					break
				}
				require.GreaterOrEqual(t, at, before)
				before = at
				n++
			}
			assert.GreaterOrEqual(t, n, test.least)
			assert.LessOrEqual(t, n, test.most)
			assert.LessOrEqual(t, before, test.last)
		})
	}
}

// Guards against a plan without bounds, which could load the machine for
// hours.
func TestPlanRefusals(t *testing.T) {
	step, kind := []Step{{time.Second, 1}}, []Kind{{Weight: 1}}
	tests := []struct {
		name string
		plan Plan
	}{
		{"nothing", Plan{}},
		{"no mix", Plan{Steps: step}},
		{"no time", Plan{Mix: kind}},
		{"no weight", Plan{Steps: step, Mix: []Kind{{}}}},
		{"negative weight", Plan{Steps: step, Mix: []Kind{{Weight: 2}, {Weight: -1}}}},
		{"negative rate", Plan{Steps: []Step{{time.Second, -1}}, Mix: kind}},
		{"too long", Plan{Steps: []Step{{time.Hour, 1}}, Mix: kind}},
		{"too many", Plan{Steps: step, Mix: kind, MaxRequests: maxLimit + 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Run(t.Context(), Options{Plan: test.plan, Caller: callerFunc(nil)})
			require.ErrorIs(t, err, errPlan)
		})
	}
}

// callerFunc is a fleet made of one function.
type callerFunc func(request client.Request) client.Result

func (f callerFunc) Do(_ context.Context, request client.Request) (client.Result, error) {
	return f(request), nil
}

// right returns the answer that a stand-in server gives.
func right(request client.Request) client.Result {
	headers := map[string]string{}
	for _, h := range request.Headers {
		headers[h.Name] = h.Value
	}
	caller := headers[server.HeaderCaller]
	body, _ := json.Marshal(server.Answer{Caller: caller, Received: int64(len(request.Body))})
	if size, err := strconv.Atoi(headers[server.HeaderBodySize]); err == nil {
		body = nil
		for len(body) < size {
			body = append(body, caller+"\n"...)
		}
		body = body[:size]
	}
	return client.Result{
		Outcome: fleet.Done, Status: 200, Body: body, Key: request.Key, SendCount: 1,
		Headers: []exchange.Header{{Name: server.HeaderCaller, Value: caller}, {Name: server.HeaderBodyDigest, Value: server.Digest(body)}},
	}
}

func header(r client.Result, i int, value string) client.Result {
	r.Headers[i].Value = value
	return r
}

// Guards against a check that lets a wrong or truncated answer pass.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		kind   Kind
		change func(r client.Result) client.Result
		want   error
	}{
		{"json", Kind{}, func(r client.Result) client.Result { return r }, nil},
		{"json for a body", Kind{RequestBodyBytes: 10}, func(r client.Result) client.Result { return r }, nil},
		{"sized", Kind{ResponseBodyBytes: 1000}, func(r client.Result) client.Result { return r }, nil},
		{"other caller", Kind{}, func(r client.Result) client.Result { return header(r, 0, "c2") }, errCaller},
		{"flipped byte", Kind{ResponseBodyBytes: 1000}, func(r client.Result) client.Result {
			r.Body[500] ^= 1
			return r
		}, errDigest},
		{"truncated", Kind{ResponseBodyBytes: 1000}, func(r client.Result) client.Result {
			r.Body = r.Body[:999]
			return header(r, 1, server.Digest(r.Body))
		}, errLength},
		{"other body of the same size", Kind{ResponseBodyBytes: 1000}, func(r client.Result) client.Result {
			r.Body = make([]byte, 1000)
			return header(r, 1, server.Digest(r.Body))
		}, errBody},
		{"other json", Kind{}, func(r client.Result) client.Result {
			r.Body = []byte(`{"caller":"c2"}`)
			return header(r, 1, server.Digest(r.Body))
		}, errBody},
		{"request body lost", Kind{RequestBodyBytes: 10}, func(r client.Result) client.Result {
			r.Body = []byte(`{"caller":"c1","received":9}`)
			return header(r, 1, server.Digest(r.Body))
		}, errBody},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.ErrorIs(t, check(test.kind, "c1", test.change(right(request(test.kind, "c1")))), test.want)
		})
	}
}

// Guards against a verdict that hides a double run or a false "not run".
func TestVerify(t *testing.T) {
	tests := []struct {
		name string
		told ProtectedResult
		runs int
		ok   bool
		want string
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
			r := Report{ProtectedResults: map[fleet.Key]ProtectedResult{"k": test.told}}
			v := r.Verify(map[fleet.Key]int{"k": test.runs, "other": 5})
			assert.Equal(t, test.ok, v.OK())
			assert.Contains(t, v.String(), test.want)
		})
	}
}

// Guards against counts that lose requests.
func TestRunCounts(t *testing.T) {
	plan := Plan{
		Steps: []Step{{100 * time.Millisecond, 2000}}, Regular: true, MaxRequests: 150,
		Mix: []Kind{{Weight: 1, Service: "svc", Class: "a", Protected: true}},
	}
	tests := []struct {
		name   string
		answer func(client.Request) client.Result
		want   RequestCounts
		codes  map[exchange.Code]int
	}{
		{"good", right, RequestCounts{Offered: 150, Done: 150, Good: 150}, map[exchange.Code]int{}},
		{"wrong", func(q client.Request) client.Result { return header(right(q), 0, "x") }, RequestCounts{Offered: 150, Done: 150, Wrong: 150}, map[exchange.Code]int{}},
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
			r, err := Run(t.Context(), Options{Plan: plan, Caller: callerFunc(test.answer)})
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

// Guards against a closed loop: the requests that are due during a stall must
// show the time that they waited, even if they could not be sent.
func TestStallShowsInLatencies(t *testing.T) {
	tests := []struct {
		name     string
		inFlight int
	}{
		{"all at once", 1000},
		{"few at once", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			began := time.Now()
			stall := callerFunc(func(q client.Request) client.Result {
				time.Sleep(time.Until(began.Add(300 * time.Millisecond)))
				return right(q)
			})
			r, err := Run(t.Context(), Options{Caller: stall, Plan: Plan{
				Steps: []Step{{300 * time.Millisecond, 200}}, Regular: true, MaxInFlight: test.inFlight, Mix: []Kind{{Weight: 1}},
			}})
			require.NoError(t, err)
			a := r.Groups[0].AnsweredLatencies
			assert.InDelta(t, 150, a.P50.Std().Milliseconds(), 60)
			assert.GreaterOrEqual(t, a.P99.Std(), 250*time.Millisecond)
		})
	}
}

// Guards against a run that goes on after it was stopped, and one that never
// says how far it is.
func TestStopAndProgress(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		most  int
	}{
		{"at once", 0, 1},
		{"during the run", 50 * time.Millisecond, 500},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.after)
			defer cancel()
			calls := 0
			r, err := Run(ctx, Options{
				Caller:           callerFunc(right),
				Plan:             Plan{Steps: []Step{{time.Minute, 1000}}, Mix: []Kind{{Weight: 1}}},
				ProgressInterval: 10 * time.Millisecond,
				Progress: func(p Progress) {
					calls++
					assert.NotEmpty(t, p.String())
				},
			})
			require.NoError(t, err)
			assert.LessOrEqual(t, r.Total.Offered, test.most)
			assert.Equal(t, test.after > 0, calls > 0)
		})
	}
}
