package balance

// sizeEstimates maps each kind of request to the moving average of the size of its
// responses in bytes.
type sizeEstimates map[RequestKind]float64

const (
	// initialResponseBytes is expected before the first response.
	initialResponseBytes = 2000
	// sizeWeight is the weight of one response in the moving average.
	sizeWeight = 0.04
	// overheadBytes is what headers and acknowledgements add to a request and its response.
	overheadBytes = 1000
)

// expected returns the expected size of the response to a kind of request.
func (e sizeEstimates) expected(kind RequestKind) float64 {
	if known, ok := e[kind]; ok {
		return known
	}
	return initialResponseBytes
}

// observe adds the size of a response to the average.
func (e sizeEstimates) observe(kind RequestKind, bytes int) {
	if _, known := e[kind]; !known && len(e) >= maxKinds {
		clear(e)
	}
	estimate := e.expected(kind)
	e[kind] = estimate + sizeWeight*(float64(bytes)-estimate)
}

// remoteCost returns the cost of sending a request to a server in another failure domain.
func (p *Pool) remoteCost(options PickOptions) float64 {
	return remoteDomainCost + remoteByteCost*(overheadBytes+float64(options.RequestBytes)+p.sizes.expected(options.Kind))
}

// RecordResponseSize records the size in bytes of the body of a complete response.
func (a *Attempt) RecordResponseSize(bytes int) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.sizes.observe(a.kind, bytes)
}
