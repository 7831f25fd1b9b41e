package retry_test

import (
	"fmt"
	"time"

	"galenaridge/core/retry"
)

// Example retries a lookup whose server broke the connection.
func Example() {
	budget := retry.NewBudget(retry.Options{Initial: 1})
	budget.Earn()
	decision := retry.Decide(retry.Attempt{
		Idempotent: true,
		Written:    true,
		Made:       1,
		Left:       800 * time.Millisecond,
		Expected:   40 * time.Millisecond,
	})
	fmt.Println(decision, budget.Spend())
	// Output: again true
}
