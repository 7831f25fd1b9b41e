// Package fairness shares the capacity of a service between customers.
//
// Model: Shares measures, for one service, the work that each customer asks for and the
// work that is admitted, as moving averages. While requests are refused for lack of
// capacity, the fair share is the level up to which the work admitted in total serves
// every customer fully (max-min fairness). A customer with more admitted work than that
// is above its fair share, and leaves room for a request of the others on each server. Its
// requests are refused first, and it keeps its fair share.
//
// Guarantees: requests without a customer, and all requests while none is refused, leave
// no room. The state is bounded by the customers of the last few seconds.
//
// Not guaranteed: without Uses, or while they are old, an instance is fair among the
// requests that it gets.
package fairness
