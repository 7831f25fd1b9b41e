package beat

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"galenaridge/core/fleet"
	"galenaridge/core/workset"
	"galenaridge/io/peer/peerpb"
)

// maxEvery bounds the interval that a beat may state, so that a broken one does
// not keep its sender alive for ever.
const maxEvery = 10 * time.Second

// maxAge bounds the age that a beat may state.
const maxAge = time.Hour

// Encode returns the datagram of a beat.
func Encode(b workset.Beat) ([]byte, error) {
	message := &peerpb.Beat{
		Id:          string(b.Member.ID),
		Incarnation: uint64(b.Member.Incarnation),
		Domain:      string(b.Domain),
		Peer:        string(b.Peer),
		Caller:      string(b.Caller),
		Leaving:     b.Leaving,
		Ready:       b.Ready,
		Slow:        b.Slow,
		Revision:    uint64(b.Revision),
		AgeMs:       uint64(max(b.Age.Milliseconds(), 0)),
		EveryMs:     uint32(b.Every.Milliseconds()),
		UptimeMs:    uint64(b.Uptime.Milliseconds()),
		Cores:       b.Cores,
		Rate:        b.Rate,
		Version:     uint64(b.Version),
		Asks:        b.Asks,
	}
	for _, contact := range b.Contacts {
		message.Contacts = append(message.Contacts, string(contact))
	}
	data, err := proto.Marshal(message)
	return data, eris.Wrap(err, "encoding a beat")
}

// Decode returns the beat of a datagram, or an error for one that is no beat.
func Decode(data []byte) (workset.Beat, error) {
	var message peerpb.Beat
	if err := proto.Unmarshal(data, &message); err != nil {
		return workset.Beat{}, eris.Wrap(err, "decoding a beat")
	}
	every := time.Duration(message.GetEveryMs()) * time.Millisecond
	if message.GetId() == "" || message.GetPeer() == "" || message.GetCaller() == "" || every <= 0 || every > maxEvery {
		return workset.Beat{}, eris.New("a beat lacks its sender or interval")
	}
	b := workset.Beat{
		Member:   fleet.Member{ID: fleet.InstanceID(message.GetId()), Incarnation: fleet.Incarnation(message.GetIncarnation())},
		Domain:   fleet.Domain(message.GetDomain()),
		Peer:     fleet.Address(message.GetPeer()),
		Caller:   fleet.Address(message.GetCaller()),
		Leaving:  message.GetLeaving(),
		Ready:    message.GetReady(),
		Slow:     message.GetSlow(),
		Revision: fleet.Revision(message.GetRevision()),
		Age:      time.Duration(min(message.GetAgeMs(), uint64(maxAge.Milliseconds()))) * time.Millisecond,
		Every:    every,
		Uptime:   time.Duration(message.GetUptimeMs()) * time.Millisecond,
		Cores:    message.GetCores(),
		Rate:     message.GetRate(),
		Version:  fleet.Version(message.GetVersion()),
		Asks:     message.GetAsks(),
	}
	for _, contact := range message.GetContacts() {
		b.Contacts = append(b.Contacts, fleet.Address(contact))
	}
	return b, nil
}
