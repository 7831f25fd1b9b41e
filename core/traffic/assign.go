package traffic

import (
	"context"
	"time"

	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/once"
)

// Assignment says which instances a caller should use, in order of preference,
// and for how long.
type Assignment struct {
	Service   fleet.ServiceName
	Version   fleet.Version
	Endpoints []Endpoint
	TTL       time.Duration
	Token     once.Token
	TokenTTL  time.Duration
}

// Endpoint is the address of an instance for callers.
type Endpoint struct {
	Address fleet.Address
	Domain  fleet.Domain
}

// Assign answers a caller that asks where to connect; the refusal is zero if
// there is an assignment. The failure domain may be empty.
func (e *Engine) Assign(ctx context.Context, name fleet.ServiceName, domain fleet.Domain) (Assignment, exchange.Response) {
	view := e.options.Control.View()
	if !view.Config.Ready() {
		return Assignment{}, exchange.Refuse(exchange.NotReady, "no configuration is in force yet")
	}
	service := view.Services[name]
	if service == nil {
		return Assignment{}, exchange.Refuse(exchange.NoService, "service is not configured")
	}
	owners := e.preferred(view, service, domain)
	if len(owners) == 0 {
		return Assignment{}, exchange.Refuse(exchange.NoCapacity, "no instance owns a server of the service yet")
	}
	token, owners, err := e.mintFirst(ctx, view, name, owners)
	if err != nil {
		return Assignment{}, exchange.Refuse(exchange.NoCapacity, "no owner issues tokens at present")
	}
	limits := view.Config.Document().Limits
	places := make([]Endpoint, 0, len(owners))
	for _, owner := range owners {
		places = append(places, Endpoint{Address: owner.CallerAddress, Domain: owner.Domain})
	}
	return Assignment{
		Service:   name,
		Version:   view.Config.Version(),
		Endpoints: places,
		TTL:       limits.AssignmentTTL,
		Token:     token,
		TokenTTL:  e.tokenLife(),
	}, exchange.Response{}
}

// preferred returns up to maxAddresses owners: those in the failure domain of
// the caller first, each drawn with a weight of its servers.
func (e *Engine) preferred(view *control.View, service *control.Service, domain fleet.Domain) []control.Owner {
	var near, far []control.Owner
	for _, owner := range service.Owners {
		if !usableOwner(view, owner) {
			continue
		}
		if owner.Domain == domain {
			near = append(near, owner)
		} else {
			far = append(far, owner)
		}
	}
	owners := e.draw(near, maxAddresses)
	return append(owners, e.draw(far, maxAddresses-len(owners))...)
}

func usableOwner(view *control.View, owner control.Owner) bool {
	info, known := view.Members.Lookup(owner.Member)
	return known && info.Status == member.Active && !info.Suspected
}

// draw picks up to count owners without repetition.
func (e *Engine) draw(owners []control.Owner, count int) []control.Owner {
	var drawn []control.Owner
	for len(drawn) < count && len(owners) > 0 {
		total := 0
		for _, owner := range owners {
			total += int(owner.ServerCount)
		}
		at := e.options.Random.IntN(max(total, 1))
		i := 0
		for i < len(owners)-1 && at >= int(owners[i].ServerCount) {
			at -= int(owners[i].ServerCount)
			i++
		}
		drawn = append(drawn, owners[i])
		owners = append(owners[:i:i], owners[i+1:]...)
	}
	return drawn
}

// mintFirst gets a token of the first owner; an owner that does not give one
// goes to the end.
func (e *Engine) mintFirst(ctx context.Context, view *control.View, name fleet.ServiceName, owners []control.Owner) (once.Token, []control.Owner, error) {
	var last error
	for range owners {
		first := owners[0]
		token, err := e.mintAt(ctx, view, first, name)
		if err == nil {
			return token, owners, nil
		}
		last = err
		owners = append(owners[1:len(owners):len(owners)], first)
	}
	return "", owners, last
}

func (e *Engine) mintAt(ctx context.Context, view *control.View, owner control.Owner, name fleet.ServiceName) (once.Token, error) {
	if owner.Member == view.Members.Self().Member {
		return e.Mint(name)
	}
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	return e.options.Peers.Mint(ctx, member.Peer{Member: owner.Member, Address: owner.PeerAddress}, name)
}
