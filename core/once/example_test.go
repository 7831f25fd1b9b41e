package once_test

import (
	"crypto/rand"
	"fmt"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/once"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ledger, err := once.NewLedger(once.Options{
		Home: fleet.Member{ID: "i1", Incarnation: 1}, StartedAt: now, Random: rand.Reader,
		TokenTTL: 10 * time.Minute, MaxRecords: 1000, MaxBodyBytes: 1 << 16, MaxMemoryBytes: 1 << 20,
	})
	if err != nil {
		panic(err)
	}
	token, err := ledger.Mint(now, "credit-svc")
	if err != nil {
		panic(err)
	}
	request := exchange.Request{Service: "credit-svc", Method: "POST", URI: "/payouts", Body: []byte("12")}
	arrival := once.Arrival{
		Token: token, Key: "payout-1", Service: request.Service,
		Fingerprint: once.FingerprintOf(request),
	}

	first := ledger.Begin(now, arrival)
	fmt.Println(first.Verdict)
	fmt.Println(ledger.Begin(now, arrival).Verdict)
	ledger.Finish(now, first.Ticket, exchange.Response{Outcome: fleet.Done, Status: 201})
	duplicate := ledger.Begin(now, arrival)
	fmt.Println(duplicate.Verdict, duplicate.Response.Status)
	// Output:
	// start
	// wait
	// replay 201
}
