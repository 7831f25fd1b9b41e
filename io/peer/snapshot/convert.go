package snapshot

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"galenaridge/core/customer"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/route"
	"galenaridge/io/peer/peerpb"
)

func toServers(listing follow.Listing) *peerpb.Servers {
	message := &peerpb.Servers{Era: uint64(listing.Position.Era), Revision: uint64(listing.Position.Revision), Age: int64(listing.Age), Partial: listing.Partial, Settled: listing.Settled, Outage: int64(listing.OutageAge)}
	for i := range listing.Servers {
		message.Servers = append(message.Servers, toServer(&listing.Servers[i]))
	}
	for _, change := range listing.Changes {
		switch {
		case change.Server != nil:
			message.Changes = append(message.Changes, &peerpb.Change{Kind: &peerpb.Change_Server{Server: toServer(change.Server)}})
		case change.Removed != "":
			message.Changes = append(message.Changes, &peerpb.Change{Kind: &peerpb.Change_Removed{Removed: string(change.Removed)}, Revision: uint64(change.Position.Revision)})
		}
	}
	return message
}

func toServer(server *registry.Server) *peerpb.ListedServer {
	message := &peerpb.ListedServer{
		Id:       string(server.ID),
		Born:     int64(server.StartedAt),
		Service:  string(server.Service),
		Domain:   string(server.Domain),
		Address:  string(server.Address),
		Slots:    int64(server.Slots),
		Leaving:  server.Presence == fleet.Leaving,
		Revision: uint64(server.Written.Revision),
	}
	if !server.WarmAt.IsZero() {
		message.Warm = server.WarmAt.UnixNano()
	}
	return message
}

// fromServers returns the listing in a message. It returns an error if a change has no
// server.
func fromServers(message *peerpb.Servers) (follow.Listing, error) {
	listing := follow.Listing{
		Position: positionOf(message.GetEra(), message.GetRevision()),
		Age:      max(time.Duration(message.GetAge()), 0),
		Partial:  message.GetPartial(),
		Settled:  message.GetSettled(),

		OutageAge: max(time.Duration(message.GetOutage()), 0),
	}
	for _, server := range message.GetServers() {
		listing.Servers = append(listing.Servers, fromServer(message.GetEra(), server))
	}
	for _, change := range message.GetChanges() {
		switch kind := change.GetKind().(type) {
		case *peerpb.Change_Server:
			server := fromServer(message.GetEra(), kind.Server)
			listing.Changes = append(listing.Changes, follow.Change{Position: server.Written, Server: &server})
		case *peerpb.Change_Removed:
			listing.Changes = append(listing.Changes, follow.Change{Position: positionOf(message.GetEra(), change.GetRevision()), Removed: fleet.ServerID(kind.Removed)})
		default:
			return follow.Listing{}, eris.New("a change has no server")
		}
	}
	return listing, nil
}

// positionOf returns a position, or the zero position if the revision is not known.
func positionOf(era, revision uint64) fleet.Position {
	if revision == 0 {
		return fleet.Position{}
	}
	return fleet.Position{Era: fleet.Era(era), Revision: fleet.Revision(revision)}
}

func fromServer(era uint64, message *peerpb.ListedServer) registry.Server {
	server := registry.Server{
		Incarnation: registry.Incarnation{ID: fleet.ServerID(message.GetId()), StartedAt: registry.StartTime(message.GetBorn())},
		Service:     fleet.ServiceName(message.GetService()),
		Domain:      fleet.Domain(message.GetDomain()),
		Address:     fleet.Address(message.GetAddress()),
		Slots:       fleet.Slots(message.GetSlots()),
		Written:     positionOf(era, message.GetRevision()),
	}
	if message.GetLeaving() {
		server.Presence = fleet.Leaving
	}
	if message.GetWarm() != 0 {
		server.WarmAt = time.Unix(0, message.GetWarm())
	}
	return server
}

func toRoutes(document *route.Document) *peerpb.Routes {
	message := &peerpb.Routes{
		Version:    uint64(document.Version),
		Header:     int64(document.Limits.MaxHeaderBytes),
		Body:       int64(document.Limits.MaxBodyBytes),
		HeaderWait: int64(document.Limits.HeaderTimeout),
		Idle:       int64(document.Limits.IdleTimeout),
		Keys:       proto.Bool(document.KeysRequired || len(document.Customers) > 0),
	}
	for _, s := range document.Services {
		message.Services = append(message.Services, &peerpb.RouteService{Name: string(s.Name), Health: s.HealthPath, Conns: int64(s.MaxConns)})
	}
	for i := range document.Routes {
		message.Routes = append(message.Routes, toRoute(&document.Routes[i]))
	}
	for i := range document.Customers {
		message.Customers = append(message.Customers, toCustomer(&document.Customers[i]))
	}
	return message
}

func toCustomer(c *customer.Customer) *peerpb.RouteCustomer {
	message := &peerpb.RouteCustomer{Name: string(c.Name), Rate: float64(c.Rate), Burst: float64(c.Burst)}
	if c.Priority != nil {
		message.Priority = proto.Int64(int64(*c.Priority))
	}
	for _, key := range c.Keys {
		message.Keys = append(message.Keys, key[:])
	}
	return message
}

func toRoute(r *route.Route) *peerpb.Route {
	message := &peerpb.Route{
		Name:       r.Name,
		Host:       r.Host,
		Prefix:     r.Prefix,
		Idempotent: r.Idempotent,
		Timeout:    int64(r.Timeout),
		Objective:  int64(r.LatencyObjective),
		Priority:   int64(r.Priority),
		Attempts:   int64(r.MaxAttempts),
		Public:     r.Public,
	}
	for _, b := range r.Backends {
		message.Backends = append(message.Backends, &peerpb.RouteBackend{Service: string(b.Service), Weight: int64(b.Weight)})
	}
	return message
}

// fromRoutes returns the configuration in a message, which is not validated. It returns an
// error if the hash of a key has the wrong length, or if the message does not say whether
// requests need a key. Peers of earlier releases send an empty list of customers as none, so
// such a configuration has to be read from the store.
func fromRoutes(message *peerpb.Routes) (*route.Document, error) {
	if message.Keys == nil && len(message.GetCustomers()) == 0 {
		return nil, eris.New("the peer does not say whether requests need a key")
	}
	document := &route.Document{
		Version: fleet.Version(message.GetVersion()),
		Limits: route.Limits{
			MaxHeaderBytes: int(message.GetHeader()),
			MaxBodyBytes:   int(message.GetBody()),
			HeaderTimeout:  time.Duration(message.GetHeaderWait()),
			IdleTimeout:    time.Duration(message.GetIdle()),
		},
		KeysRequired: message.GetKeys() || len(message.GetCustomers()) > 0,
	}
	for _, s := range message.GetServices() {
		document.Services = append(document.Services, route.Service{Name: fleet.ServiceName(s.GetName()), HealthPath: s.GetHealth(), MaxConns: fleet.Conns(s.GetConns())})
	}
	for _, r := range message.GetRoutes() {
		document.Routes = append(document.Routes, fromRoute(r))
	}
	for _, c := range message.GetCustomers() {
		decoded, err := fromCustomer(c)
		if err != nil {
			return nil, err
		}
		document.Customers = append(document.Customers, decoded)
	}
	return document, nil
}

func fromCustomer(message *peerpb.RouteCustomer) (customer.Customer, error) {
	c := customer.Customer{
		Name:  fleet.Customer(message.GetName()),
		Rate:  customer.Rate(message.GetRate()),
		Burst: customer.Burst(message.GetBurst()),
	}
	if message.Priority != nil {
		priority := customer.Priority(message.GetPriority())
		c.Priority = &priority
	}
	for _, key := range message.GetKeys() {
		if len(key) != len(customer.KeyHash{}) {
			return customer.Customer{}, eris.Errorf("the hash of a key of customer %q has %d bytes", c.Name, len(key))
		}
		c.Keys = append(c.Keys, customer.KeyHash(key))
	}
	return c, nil
}

func fromRoute(message *peerpb.Route) route.Route {
	r := route.Route{
		Name:             message.GetName(),
		Host:             message.GetHost(),
		Prefix:           message.GetPrefix(),
		Idempotent:       message.GetIdempotent(),
		Timeout:          time.Duration(message.GetTimeout()),
		LatencyObjective: time.Duration(message.GetObjective()),
		Priority:         route.Priority(message.GetPriority()),
		MaxAttempts:      int(message.GetAttempts()),
		Public:           message.GetPublic(),
	}
	for _, b := range message.GetBackends() {
		r.Backends = append(r.Backends, route.Backend{Service: fleet.ServiceName(b.GetService()), Weight: int(b.GetWeight())})
	}
	return r
}
