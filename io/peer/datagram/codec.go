package datagram

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/gateway"
	"galenaridge/core/workset"
	"galenaridge/io/peer/peerpb"
)

// maxEvery bounds the interval that a beat may state, so that a broken one does
// not keep its sender alive for ever.
const maxEvery = 30 * time.Second

// maxAge bounds the age that a beat may state.
const maxAge = time.Hour

// encodeBeat returns the datagram of a beat.
func encodeBeat(b workset.Heartbeat) ([]byte, error) {
	message := &peerpb.Beat{
		Id:          string(b.Member.ID),
		Incarnation: uint64(b.Member.Incarnation),
		Domain:      string(b.Domain),
		Peer:        string(b.PeerAddress),
		Caller:      string(b.CallerAddress),
		Leaving:     b.Leaving,
		Ready:       b.Ready,
		Slow:        b.Slow,
		Lost:        b.StoreUnreachable,
		Revision:    uint64(b.Revision),
		AgeMs:       uint64(max(b.CopyAge.Milliseconds(), 0)),
		EveryMs:     uint32(b.Interval.Milliseconds()),
		UptimeMs:    uint64(b.Uptime.Milliseconds()),
		Cores:       b.Cores,
		Rate:        b.RequestRate,
		Version:     uint64(b.Version),
		Asks:        b.RequestsContacts,
	}
	for _, contact := range b.Contacts {
		message.Contacts = append(message.Contacts, string(contact))
	}
	data, err := proto.Marshal(&peerpb.Datagram{Body: &peerpb.Datagram_Beat{Beat: message}})
	return data, eris.Wrap(err, "encoding a beat")
}

// decodeBeat returns a beat, or an error for one that lacks something.
func decodeBeat(message *peerpb.Beat) (workset.Heartbeat, error) {
	every := time.Duration(message.GetEveryMs()) * time.Millisecond
	if message.GetId() == "" || message.GetPeer() == "" || message.GetCaller() == "" || every <= 0 || every > maxEvery {
		return workset.Heartbeat{}, eris.New("a beat lacks its sender or interval")
	}
	b := workset.Heartbeat{
		Member:           fleet.Member{ID: fleet.InstanceID(message.GetId()), Incarnation: fleet.Incarnation(message.GetIncarnation())},
		Domain:           fleet.Domain(message.GetDomain()),
		PeerAddress:      fleet.Address(message.GetPeer()),
		CallerAddress:    fleet.Address(message.GetCaller()),
		Leaving:          message.GetLeaving(),
		Ready:            message.GetReady(),
		Slow:             message.GetSlow(),
		StoreUnreachable: message.GetLost(),
		Revision:         fleet.Revision(message.GetRevision()),
		CopyAge:          time.Duration(min(message.GetAgeMs(), uint64(maxAge.Milliseconds()))) * time.Millisecond,
		Interval:         every,
		Uptime:           time.Duration(message.GetUptimeMs()) * time.Millisecond,
		Cores:            message.GetCores(),
		RequestRate:      message.GetRate(),
		Version:          fleet.Version(message.GetVersion()),
		RequestsContacts: message.GetAsks(),
	}
	for _, contact := range message.GetContacts() {
		b.Contacts = append(b.Contacts, fleet.Address(contact))
	}
	return b, nil
}

// encodeReport returns the datagram of a report.
func encodeReport(r gateway.Report) ([]byte, error) {
	message := &peerpb.Report{Id: string(r.Sender.ID), Incarnation: uint64(r.Sender.Incarnation)}
	for _, share := range r.ServerReports {
		message.Server = append(message.Server, uint32(share.Key))
		message.Outstanding = append(message.Outstanding, uint32(share.Outstanding))
		message.Failing = append(message.Failing, uint32(share.FailureProbability*thousand))
		message.AgeMs = append(message.AgeMs, uint32(min(share.EvidenceAge, maxAge).Milliseconds()))
	}
	data, err := proto.Marshal(&peerpb.Datagram{Body: &peerpb.Datagram_Report{Report: message}})
	return data, eris.Wrap(err, "encoding a report")
}

// thousand is the scale of probabilities in reports.
const thousand = 1000

// decodeReport returns a report, or an error if its fields do not belong
// together.
func decodeReport(message *peerpb.Report) (gateway.Report, error) {
	n := len(message.GetServer())
	if message.GetId() == "" || len(message.GetOutstanding()) != n || len(message.GetFailing()) != n || len(message.GetAgeMs()) != n {
		return gateway.Report{}, eris.New("a report lacks its sender or a field")
	}
	r := gateway.Report{
		Sender:        fleet.Member{ID: fleet.InstanceID(message.GetId()), Incarnation: fleet.Incarnation(message.GetIncarnation())},
		ServerReports: make([]balance.ServerReport, 0, n),
	}
	for i, key := range message.GetServer() {
		r.ServerReports = append(r.ServerReports, balance.ServerReport{
			Key:                balance.ServerKey(key),
			Outstanding:        int(min(message.GetOutstanding()[i], maxOutstanding)),
			FailureProbability: float64(min(message.GetFailing()[i], thousand)) / thousand,
			EvidenceAge:        time.Duration(message.GetAgeMs()[i]) * time.Millisecond,
		})
	}
	return r, nil
}

// maxOutstanding bounds the requests that a report may state for a server.
const maxOutstanding = 10_000
