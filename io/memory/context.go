package memory

import "context"

// responseHolding is the key of the holding for the response to a request.
type responseHolding struct{}

// WithResponseHolding returns a context with the holding that takes over the bytes of the
// response to a request, so that they count until the caller has read it.
func WithResponseHolding(ctx context.Context, holding *Holding) context.Context {
	return context.WithValue(ctx, responseHolding{}, holding)
}

// ResponseHolding returns the holding of WithResponseHolding, or nil.
func ResponseHolding(ctx context.Context) *Holding {
	holding, _ := ctx.Value(responseHolding{}).(*Holding)
	return holding
}
