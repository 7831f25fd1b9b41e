package retry_test

import (
	"fmt"
	"time"

	"galenaridge/core/retry"
)

// Example retries an idempotent request whose server closed the connection.
func Example() {
	budget := retry.NewBudget(retry.Options{InitialTokens: 1})
	budget.RecordFirstAttempt()
	decision := retry.Decide(retry.Attempt{
		Idempotent:       true,
		Written:          true,
		Attempts:         1,
		TimeLeft:         800 * time.Millisecond,
		ExpectedDuration: 40 * time.Millisecond,
	})
	fmt.Println(decision, budget.TakeToken())
	// Output: again true
}
