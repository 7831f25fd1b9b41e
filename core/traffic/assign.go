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

// Assignment lists the instances that a caller should use, in order of
// preference, with the TTL of the list and a token for protected requests.
type Assignment struct {
	Service   fleet.ServiceName
	Version   fleet.Version
	Endpoints []Endpoint
	TTL       time.Duration
	Token     once.Token
	TokenTTL  time.Duration
}

// Endpoint is the address at which an instance accepts callers, with its
// failure domain.
type Endpoint struct {
	Address fleet.Address
	Domain  fleet.Domain
}

// Assign returns the assignment for a caller of the service, or a refusal; the
// refusal is zero if there is an assignment. The failure domain of the caller
// may be empty.
func (e *Engine) Assign(ctx context.Context, name fleet.ServiceName, domain fleet.Domain) (Assignment, exchange.Response) {
	view := e.options.Control.View()
	if !view.Config.Ready() {
		return Assignment{}, exchange.Refuse(exchange.NotReady, "no configuration is in force yet")
	}
	service := view.Services[name]
	if service == nil {
		return Assignment{}, exchange.Refuse(exchange.NoService, "service is not configured")
	}
	owners := e.preferredOwners(view, service, domain)
	if len(owners) == 0 {
		return Assignment{}, exchange.Refuse(exchange.NoCapacity, "no instance owns a server of the service yet")
	}
	token, owners, err := e.mintFromFirst(ctx, view, name, owners)
	if err != nil {
		return Assignment{}, exchange.Refuse(exchange.NoCapacity, "no owner issues tokens at present")
	}
	limits := view.Config.Document().Limits
	endpoints := make([]Endpoint, 0, len(owners))
	for _, owner := range owners {
		endpoints = append(endpoints, Endpoint{Address: owner.CallerAddress, Domain: owner.Domain})
	}
	return Assignment{
		Service:   name,
		Version:   view.Config.Version(),
		Endpoints: endpoints,
		TTL:       limits.AssignmentTTL,
		Token:     token,
		TokenTTL:  e.tokenTTL(),
	}, exchange.Response{}
}

// preferredOwners returns up to maxEndpoints usable owners, drawn at random
// with their server counts as weights. Owners in the failure domain of the
// caller come first.
func (e *Engine) preferredOwners(view *control.View, service *control.Service, domain fleet.Domain) []control.Owner {
	var localOwners, remoteOwners []control.Owner
	for _, owner := range service.Owners {
		if !isUsable(view, owner) {
			continue
		}
		if owner.Domain == domain {
			localOwners = append(localOwners, owner)
		} else {
			remoteOwners = append(remoteOwners, owner)
		}
	}
	owners := e.drawOwners(localOwners, maxEndpoints)
	return append(owners, e.drawOwners(remoteOwners, maxEndpoints-len(owners))...)
}

func isUsable(view *control.View, owner control.Owner) bool {
	info, known := view.Members.Lookup(owner.Member)
	return known && info.Status == member.Active && !info.Suspected
}

// drawOwners draws up to count distinct owners at random, weighted by their
// server counts.
func (e *Engine) drawOwners(owners []control.Owner, count int) []control.Owner {
	var drawn []control.Owner
	for len(drawn) < count && len(owners) > 0 {
		totalServers := 0
		for _, owner := range owners {
			totalServers += int(owner.ServerCount)
		}
		offset := e.options.Random.IntN(max(totalServers, 1))
		i := 0
		for i < len(owners)-1 && offset >= int(owners[i].ServerCount) {
			offset -= int(owners[i].ServerCount)
			i++
		}
		drawn = append(drawn, owners[i])
		owners = append(owners[:i:i], owners[i+1:]...)
	}
	return drawn
}

// mintFromFirst requests a token from the first owner. An owner that fails to
// issue one moves to the end of the list, and the next owner is tried.
func (e *Engine) mintFromFirst(ctx context.Context, view *control.View, name fleet.ServiceName, owners []control.Owner) (once.Token, []control.Owner, error) {
	var lastErr error
	for range owners {
		first := owners[0]
		token, err := e.mintAtOwner(ctx, view, first, name)
		if err == nil {
			return token, owners, nil
		}
		lastErr = err
		owners = append(owners[1:len(owners):len(owners)], first)
	}
	return "", owners, lastErr
}

func (e *Engine) mintAtOwner(ctx context.Context, view *control.View, owner control.Owner, name fleet.ServiceName) (once.Token, error) {
	if owner.Member == view.Members.Self().Member {
		return e.Mint(name)
	}
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	return e.options.Peers.Mint(ctx, member.Peer{Member: owner.Member, Address: owner.PeerAddress}, name)
}
