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

// maxInterval is the longest accepted heartbeat interval. Without a limit, a faulty
// heartbeat could keep its sender listed as live indefinitely.
const maxInterval = 30 * time.Second

// maxAge limits the copy age in received heartbeats and the evidence age in sent
// reports; higher ages are replaced by it.
const maxAge = time.Hour

// maxDomainSize limits the numbers of instances in received heartbeats.
const maxDomainSize = 100_000

// encodeHeartbeat returns a heartbeat as a datagram.
func encodeHeartbeat(heartbeat workset.Heartbeat) ([]byte, error) {
	message := &peerpb.Beat{
		Id:          string(heartbeat.Member.ID),
		Incarnation: uint64(heartbeat.Member.Incarnation),
		Domain:      string(heartbeat.Domain),
		Peer:        string(heartbeat.PeerAddress),
		Caller:      string(heartbeat.CallerAddress),
		Leaving:     heartbeat.Leaving,
		Ready:       heartbeat.Ready,
		Slow:        heartbeat.Slow,
		Active:      heartbeat.Active,
		Lost:        heartbeat.StoreUnreachable,
		Era:         uint64(heartbeat.Position.Era),
		Revision:    uint64(heartbeat.Position.Revision),
		AgeMs:       uint64(max(heartbeat.CopyAge.Milliseconds(), 0)),
		EveryMs:     uint32(heartbeat.Interval.Milliseconds()),
		UptimeMs:    uint64(heartbeat.Uptime.Milliseconds()),
		Cores:       heartbeat.Cores,
		Rate:        heartbeat.RequestRate,
		Version:     uint64(heartbeat.Version),
		Asks:        heartbeat.RequestsContacts,
		DomainSize:  uint32(heartbeat.DomainSize),
		DomainHeard: uint32(heartbeat.DomainHeard),
	}
	if heartbeat.ConfigAge.Milliseconds() > heartbeat.CopyAge.Milliseconds() {
		message.ConfigAgeMs = uint64(heartbeat.ConfigAge.Milliseconds())
	}
	if heartbeat.ReadsStore {
		message.ReadAgeMs = proto.Uint64(uint64(max(heartbeat.ReadAge.Milliseconds(), 0)))
	}
	if heartbeat.OutageAge > 0 {
		message.OutageAgeMs = uint64((heartbeat.OutageAge + time.Millisecond - 1).Milliseconds())
	}
	for _, contact := range heartbeat.Contacts {
		message.Contacts = append(message.Contacts, string(contact))
	}
	data, err := proto.Marshal(&peerpb.Datagram{Body: &peerpb.Datagram_Beat{Beat: message}})
	return data, eris.Wrap(err, "cannot encode a heartbeat")
}

// decodeHeartbeat converts a received heartbeat. It returns an error if the id or
// an address is missing or the interval is out of range.
func decodeHeartbeat(message *peerpb.Beat) (workset.Heartbeat, error) {
	interval := time.Duration(message.GetEveryMs()) * time.Millisecond
	if message.GetId() == "" || message.GetPeer() == "" || message.GetCaller() == "" || interval <= 0 || interval > maxInterval {
		return workset.Heartbeat{}, eris.New("heartbeat has no id or address, or an invalid interval")
	}
	heartbeat := workset.Heartbeat{
		Member:           fleet.Member{ID: fleet.InstanceID(message.GetId()), Incarnation: fleet.Incarnation(message.GetIncarnation())},
		Domain:           fleet.Domain(message.GetDomain()),
		PeerAddress:      fleet.Address(message.GetPeer()),
		CallerAddress:    fleet.Address(message.GetCaller()),
		Leaving:          message.GetLeaving(),
		Ready:            message.GetReady(),
		Slow:             message.GetSlow(),
		Active:           message.GetActive(),
		StoreUnreachable: message.GetLost(),
		Position:         fleet.Position{Era: fleet.Era(message.GetEra()), Revision: fleet.Revision(message.GetRevision())},
		CopyAge:          time.Duration(min(message.GetAgeMs(), uint64(maxAge.Milliseconds()))) * time.Millisecond,
		Interval:         interval,
		Uptime:           time.Duration(message.GetUptimeMs()) * time.Millisecond,
		Cores:            message.GetCores(),
		RequestRate:      message.GetRate(),
		Version:          fleet.Version(message.GetVersion()),
		RequestsContacts: message.GetAsks(),
		DomainSize:       int(min(message.GetDomainSize(), maxDomainSize)),
		DomainHeard:      int(min(message.GetDomainHeard(), message.GetDomainSize(), maxDomainSize)),
	}
	configAgeMs := max(message.GetConfigAgeMs(), message.GetAgeMs())
	heartbeat.ConfigAge = time.Duration(min(configAgeMs, uint64(maxAge.Milliseconds()))) * time.Millisecond
	heartbeat.ReadsStore = message.ReadAgeMs != nil
	heartbeat.ReadAge = time.Duration(min(message.GetReadAgeMs(), uint64(maxAge.Milliseconds()))) * time.Millisecond
	heartbeat.OutageAge = time.Duration(min(message.GetOutageAgeMs(), uint64(maxAge.Milliseconds()))) * time.Millisecond
	for _, contact := range message.GetContacts() {
		heartbeat.Contacts = append(heartbeat.Contacts, fleet.Address(contact))
	}
	return heartbeat, nil
}

// encodeReport returns a report as a datagram.
func encodeReport(r gateway.Report) ([]byte, error) {
	message := &peerpb.Report{Id: string(r.Sender.ID), Incarnation: uint64(r.Sender.Incarnation)}
	for i, server := range r.ServerReports {
		if server.Withheld {
			message.Withheld = append(message.Withheld, uint32(i))
		}
		message.Server = append(message.Server, uint32(server.Key))
		message.Outstanding = append(message.Outstanding, uint32(server.Outstanding))
		message.Failing = append(message.Failing, uint32(server.FailureProbability*probabilityScale))
		message.RequestMs = append(message.RequestMs, uint32(min(server.RequestAge, maxAge).Milliseconds()))
		message.AgeMs = append(message.AgeMs, uint32(min(server.EvidenceAge, maxAge).Milliseconds()))
	}
	if !r.Quota.IsZero() {
		message.Quota = encodeQuota(r.Quota)
	}
	data, err := proto.Marshal(&peerpb.Datagram{Body: &peerpb.Datagram_Report{Report: message}})
	return data, eris.Wrap(err, "cannot encode a report")
}

// probabilityScale converts probabilities to the thousandths used in reports.
const probabilityScale = 1000

// decodeReport converts a received report. It returns an error if the sender is
// missing or the repeated fields differ in length.
func decodeReport(message *peerpb.Report) (gateway.Report, error) {
	n := len(message.GetServer())
	if message.GetId() == "" || len(message.GetOutstanding()) != n || len(message.GetFailing()) != n || len(message.GetAgeMs()) != n {
		return gateway.Report{}, eris.New("report has no sender or repeated fields of different lengths")
	}
	r := gateway.Report{
		Sender:        fleet.Member{ID: fleet.InstanceID(message.GetId()), Incarnation: fleet.Incarnation(message.GetIncarnation())},
		ServerReports: make([]balance.ServerReport, 0, n),
	}
	for i, key := range message.GetServer() {
		r.ServerReports = append(r.ServerReports, balance.ServerReport{
			Key:                balance.ServerKey(key),
			Outstanding:        int(min(message.GetOutstanding()[i], maxOutstanding)),
			FailureProbability: float64(min(message.GetFailing()[i], probabilityScale)) / probabilityScale,
			EvidenceAge:        time.Duration(message.GetAgeMs()[i]) * time.Millisecond,
		})
	}
	// Earlier releases do not send the age of the last request. Their evidence is about as old.
	if requestMs := message.GetRequestMs(); len(requestMs) != 0 && len(requestMs) != n {
		return gateway.Report{}, eris.New("report has repeated fields of different lengths")
	}
	for i := range r.ServerReports {
		r.ServerReports[i].RequestAge = r.ServerReports[i].EvidenceAge
		if len(message.GetRequestMs()) == n {
			r.ServerReports[i].RequestAge = time.Duration(message.GetRequestMs()[i]) * time.Millisecond
		}
	}
	for _, i := range message.GetWithheld() {
		if int(i) >= n {
			return gateway.Report{}, eris.New("report withholds a server that it does not list")
		}
		r.ServerReports[i].Withheld = true
	}
	if message.GetQuota() != nil {
		decoded, err := decodeQuota(message.GetQuota())
		if err != nil {
			return gateway.Report{}, err
		}
		r.Quota = decoded
	}
	return r, nil
}

// maxOutstanding is the upper limit of outstanding requests to one server in a
// report; higher numbers are replaced by it.
const maxOutstanding = 10_000
