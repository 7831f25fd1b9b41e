package fleet

// Listing is the platform's listing as of one revision.
type Listing struct {
	Revision  Revision         `json:"revision"`
	Instances []ListedInstance `json:"instances"`
	Servers   []ListedServer   `json:"servers"`
}

// ListedInstance is one instance in the platform's listing.
type ListedInstance struct {
	ID            InstanceID `json:"id"`
	Domain        Domain     `json:"domain"`
	PeerAddress   Address    `json:"peer"`
	CallerAddress Address    `json:"caller"`
	Presence      Presence   `json:"presence"`
}

// ListedServer is one server in the platform's listing.
type ListedServer struct {
	ID       ServerID    `json:"id"`
	Service  ServiceName `json:"service"`
	Domain   Domain      `json:"domain"`
	Address  Address     `json:"address"`
	Presence Presence    `json:"presence"`
}
