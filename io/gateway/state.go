package gateway

import (
	"maps"
	"slices"

	"github.com/gofiber/fiber/v3"

	"galenaridge/core/fairness"
	"galenaridge/core/fleet"
	"galenaridge/core/workset"
	"galenaridge/io/operator"
)

// writeState responds with the state of the instance as JSON. It has the form of the state
// that "galenaridge show" prints.
func (p *Process) writeState(c fiber.Ctx) error { return c.JSON(p.state()) }

// maxShownCustomers bounds the customers in the state.
const maxShownCustomers = 100

// customerStates returns the customers with the most requests on this instance.
func (p *Process) customerStates() []operator.Customer {
	var states []operator.Customer
	table := p.control.View().Routes()
	for _, total := range p.customers.largest(maxShownCustomers) {
		state := operator.Customer{Name: total.name, Requests: total.requests, Refused: total.refused}
		if c, found := table.CustomerNamed(total.name); found {
			state.Configured, state.Keys = true, len(c.Keys)
			state.RatePerS, state.Burst = float64(c.Rate), float64(c.Burst)
			if c.Priority != nil {
				priority := int(*c.Priority)
				state.Priority = &priority
			}
		}
		if usage, found := p.quotas.Usage(p.clock.Now(), total.name); found {
			state.Quota = &operator.Quota{
				Own:      int64(usage.Own),
				Known:    int64(usage.Known),
				Limit:    int64(usage.Limit),
				Share:    int64(usage.Share),
				Reserved: int64(usage.Reserved),
				Refused:  usage.Refused,
			}
		}
		states = append(states, state)
	}
	return states
}

// fairShareStates returns the customers above their fair share in order of the services.
func fairShareStates(excesses map[fleet.ServiceName][]fairness.Excess) []operator.FairShare {
	var states []operator.FairShare
	for _, service := range slices.Sorted(maps.Keys(excesses)) {
		for _, e := range excesses[service] {
			states = append(states, operator.FairShare{
				Service: service, Customer: e.Customer, UsedSlots: e.Admitted, FairShareSlots: e.FairShare, RefusedPerS: e.RefusedPerSecond,
			})
		}
	}
	return states
}

func (p *Process) state() operator.InstanceState {
	view, s := p.control.View(), p.options.Settings
	state := operator.InstanceState{
		Instance: operator.Instance{
			ID:            s.ID,
			Incarnation:   p.incarnation,
			Domain:        s.Domain,
			CallerAddress: s.Listen.Caller,
			PeerAddress:   s.Listen.Peer,
			Release:       p.options.Release,
			StartedAt:     p.startedAt,
		},
		Ready:         view.Ready(),
		UnreadyReason: view.UnreadyReason(),
		Draining:      view.Stopping(),
		Config: operator.Config{
			Version:          view.Routes().Version(),
			KeysRequired:     view.Routes().RequiresKeys(),
			WatchingPlatform: view.WorkingSet().IsStoreReader(),
		},
		Listing: operator.Listing{Era: view.Position().Era, Revision: view.Position().Revision},
	}
	if confirmedAt := view.ConfirmedAt(); !confirmedAt.IsZero() {
		state.Listing.AgeMS = p.clock.Now().Sub(confirmedAt).Milliseconds()
	}
	if refused := view.RefusedConfig(); refused != nil {
		state.Config.Refused = &operator.RefusedConfig{Version: refused.Version, Reason: refused.Reason.Error()}
	}
	if confirmedAt := view.ConfigConfirmedAt(); !confirmedAt.IsZero() {
		state.Config.ConfirmedMS = p.clock.Now().Sub(confirmedAt).Milliseconds()
	}
	state.Customers = p.customerStates()
	state.FairShares = fairShareStates(view.Excesses(p.clock.Now()))
	if p.quotas.Enabled() {
		state.QuotaContact = p.quotas.Mode().String()
	}
	for _, heartbeat := range view.WorkingSet().AllActive() {
		state.Peers = append(state.Peers, operator.Peer{
			ID:            heartbeat.Member.ID,
			Incarnation:   heartbeat.Member.Incarnation,
			Domain:        heartbeat.Domain,
			State:         workset.Active.String(),
			CallerAddress: heartbeat.CallerAddress,
		})
	}
	return state
}
