package peer

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/member"
	"galenaridge/core/once"
	"galenaridge/core/ownership"
	"galenaridge/io/http1"
	"galenaridge/io/peer/peerpb"
)

func toID(m fleet.Member) *peerpb.MemberId {
	if m.IsZero() {
		return nil
	}
	return &peerpb.MemberId{Id: string(m.ID), Incarnation: uint64(m.Incarnation)}
}

func fromID(m *peerpb.MemberId) fleet.Member {
	return fleet.Member{
		ID:          fleet.InstanceID(m.GetId()),
		Incarnation: fleet.Incarnation(m.GetIncarnation()),
	}
}

func toRecord(r member.Record) *peerpb.MemberRecord {
	if r.Member.IsZero() {
		return nil
	}
	witnesses := make([]*peerpb.MemberId, 0, len(r.Witnesses))
	for _, w := range r.Witnesses {
		witnesses = append(witnesses, toID(w))
	}
	return &peerpb.MemberRecord{
		Member:    toID(r.Member),
		Domain:    string(r.Domain),
		Peer:      string(r.PeerAddress),
		Caller:    string(r.CallerAddress),
		State:     uint32(r.Status),
		Panel:     uint64(r.WitnessSetVersion),
		Witnesses: witnesses,
		Successor: toID(r.Successor),
	}
}

func fromRecord(r *peerpb.MemberRecord) member.Record {
	var witnesses []fleet.Member
	for _, w := range r.GetWitnesses() {
		witnesses = append(witnesses, fromID(w))
	}
	return member.Record{
		Member:            fromID(r.GetMember()),
		Domain:            fleet.Domain(r.GetDomain()),
		PeerAddress:       fleet.Address(r.GetPeer()),
		CallerAddress:     fleet.Address(r.GetCaller()),
		Status:            member.Status(r.GetState()),
		WitnessSetVersion: member.WitnessSetVersion(r.GetPanel()),
		Witnesses:         witnesses,
		Successor:         fromID(r.GetSuccessor()),
	}
}

func toRecords(records []member.Record) []*peerpb.MemberRecord {
	out := make([]*peerpb.MemberRecord, 0, len(records))
	for _, r := range records {
		out = append(out, toRecord(r))
	}
	return out
}

func fromRecords(records []*peerpb.MemberRecord) []member.Record {
	out := make([]member.Record, 0, len(records))
	for _, r := range records {
		out = append(out, fromRecord(r))
	}
	return out
}

// toGossip converts gossip. The age is the time since any instance last read the
// platform.
func toGossip(n member.Gossip, age time.Duration) *peerpb.News {
	return &peerpb.News{
		Records:       toRecords(n.Records),
		Digest:        n.Digest,
		ConfigVersion: uint64(n.Config.Version),
		ConfigDigest:  string(n.Config.Digest),
		ListRevision:  uint64(n.Config.ListingRevision),
		PlatformAgeMs: age.Milliseconds(),
	}
}

func fromGossip(n *peerpb.News) (member.Gossip, time.Duration) {
	return member.Gossip{
		Records: fromRecords(n.GetRecords()),
		Digest:  n.GetDigest(),
		Config: member.Config{
			Version:         fleet.Version(n.GetConfigVersion()),
			Digest:          fleet.Digest(n.GetConfigDigest()),
			ListingRevision: fleet.Revision(n.GetListRevision()),
		},
	}, time.Duration(n.GetPlatformAgeMs()) * time.Millisecond
}

func toClaim(c ownership.Claim) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		From:      toRecord(c.From),
		Resources: toStrings(c.Resources),
		Holds:     toStrings(c.Held),
		Yielded:   toStrings(c.Yielded),
	}
}

func fromClaim(c *peerpb.ClaimRequest) ownership.Claim {
	return ownership.Claim{
		From:      fromRecord(c.GetFrom()),
		Resources: fromStrings[fleet.Resource](c.GetResources()),
		Held:      fromStrings[fleet.Resource](c.GetHolds()),
		Yielded:   fromStrings[fleet.Resource](c.GetYielded()),
	}
}

func toClaimReply(r ownership.ClaimReply) *peerpb.ClaimReply {
	answers := make([]*peerpb.ClaimAnswer, 0, len(r.Answers))
	for _, a := range r.Answers {
		answers = append(answers, &peerpb.ClaimAnswer{
			Resource: string(a.Resource),
			Verdict:  uint32(a.Verdict),
			Holder:   toRecord(a.Holder),
		})
	}
	return &peerpb.ClaimReply{From: toID(r.From), Answers: answers}
}

func fromClaimReply(r *peerpb.ClaimReply) ownership.ClaimReply {
	answers := make([]ownership.Answer, 0, len(r.GetAnswers()))
	for _, a := range r.GetAnswers() {
		answers = append(answers, ownership.Answer{
			Resource: fleet.Resource(a.GetResource()),
			Verdict:  ownership.Verdict(a.GetVerdict()),
			Holder:   fromRecord(a.GetHolder()),
		})
	}
	return ownership.ClaimReply{From: fromID(r.GetFrom()), Answers: answers}
}

func toReport(service fleet.ServiceName, r floor.Report) *peerpb.PermitRequest {
	requests := make([]*peerpb.PermitWish, 0, len(r.Requests))
	for _, request := range r.Requests {
		requests = append(requests, &peerpb.PermitWish{Server: string(request.Server), Badness: request.Severity})
	}
	return &peerpb.PermitRequest{
		From:     toID(r.Owner),
		Service:  string(service),
		Sequence: uint64(r.Sequence),
		Usable:   uint32(r.Usable),
		Wishes:   requests,
		Released: toStrings(r.Released),
		MedianUs: r.MedianLatency.Microseconds(),
	}
}

func fromReport(r *peerpb.PermitRequest) floor.Report {
	requests := make([]floor.EjectionRequest, 0, len(r.GetWishes()))
	for _, request := range r.GetWishes() {
		requests = append(requests, floor.EjectionRequest{Server: fleet.ServerID(request.GetServer()), Severity: request.GetBadness()})
	}
	return floor.Report{
		Owner:         fromID(r.GetFrom()),
		Sequence:      floor.Sequence(r.GetSequence()),
		Usable:        fleet.Servers(r.GetUsable()),
		Requests:      requests,
		Released:      fromStrings[fleet.ServerID](r.GetReleased()),
		MedianLatency: time.Duration(r.GetMedianUs()) * time.Microsecond,
	}
}

func toFloorReply(r floor.Reply) *peerpb.PermitReply {
	return &peerpb.PermitReply{
		Sequence: uint64(r.Sequence),
		Ready:    r.Decided,
		Granted:  toStrings(r.Granted),
		MedianUs: r.MedianLatency.Microseconds(),
	}
}

func fromFloorReply(r *peerpb.PermitReply) floor.Reply {
	return floor.Reply{
		Sequence:      floor.Sequence(r.GetSequence()),
		Decided:       r.GetReady(),
		Granted:       fromStrings[fleet.ServerID](r.GetGranted()),
		MedianLatency: time.Duration(r.GetMedianUs()) * time.Microsecond,
	}
}

func toStrings[T ~string](values []T) []string {
	out := make([]string, 0, len(values))
	for _, v := range values {
		out = append(out, string(v))
	}
	return out
}

func fromStrings[T ~string](values []string) []T {
	out := make([]T, 0, len(values))
	for _, v := range values {
		out = append(out, T(v))
	}
	return out
}

func toRequest(r exchange.Request) *peerpb.ExecuteRequest {
	return &peerpb.ExecuteRequest{
		Service:   string(r.Service),
		Method:    []byte(r.Method),
		Uri:       []byte(r.URI),
		Headers:   toHeaders(r.Headers),
		Body:      r.Body,
		Tenant:    string(r.Customer),
		Protected: r.Protected,
		Key:       string(r.Key),
		Hops:      uint32(r.Hops),
	}
}

func fromRequest(r *peerpb.ExecuteRequest, deadline time.Time) exchange.Request {
	return exchange.Request{
		Service:   fleet.ServiceName(r.GetService()),
		Method:    string(r.GetMethod()),
		URI:       string(r.GetUri()),
		Headers:   fromHeaders(r.GetHeaders()),
		Body:      r.GetBody(),
		Customer:  fleet.Customer(r.GetTenant()),
		Protected: r.GetProtected(),
		Key:       fleet.Key(r.GetKey()),
		Deadline:  deadline,
		Hops:      int(r.GetHops()),
	}
}

// toHeaders copies all headers with three memory allocations in total, instead of
// three for each header.
func toHeaders(headers []exchange.Header) []*peerpb.Header {
	size := 0
	for _, h := range headers {
		size += len(h.Name) + len(h.Value)
	}
	buffer := make([]byte, 0, size)
	messages := make([]peerpb.Header, len(headers))
	out := make([]*peerpb.Header, len(headers))
	for i, h := range headers {
		nameStart := len(buffer)
		buffer = append(buffer, h.Name...)
		valueStart := len(buffer)
		buffer = append(buffer, h.Value...)
		messages[i].Name, messages[i].Value = buffer[nameStart:valueStart:valueStart], buffer[valueStart:len(buffer):len(buffer)]
		out[i] = &messages[i]
	}
	return out
}

func fromHeaders(headers []*peerpb.Header) []exchange.Header {
	all := func(yield func(name, value []byte) bool) {
		for _, h := range headers {
			if !yield(h.GetName(), h.GetValue()) {
				return
			}
		}
	}
	return http1.CopyHeaders(all, func([]byte) bool { return true })
}

func toResponse(r exchange.Response) *peerpb.ExecuteReply {
	return &peerpb.ExecuteReply{
		Outcome: uint32(r.Outcome),
		Code:    string(r.Code),
		Message: r.Message,
		Status:  int32(r.Status),
		Headers: toHeaders(r.Headers),
		Body:    r.Body,
		AfterMs: r.RetryAfter.Milliseconds(),
		Load: &peerpb.Load{
			Slots:  uint32(r.Load.Slots),
			Busy:   uint32(r.Load.Busy),
			Queued: uint32(r.Load.Queued),
		},
	}
}

// fromOutcome converts an outcome. Numbers that this release does not define,
// such as outcomes of a newer release, become fleet.Unknown.
func fromOutcome(number uint32) fleet.Outcome {
	if number > uint32(fleet.NotRun) {
		return fleet.Unknown
	}
	return fleet.Outcome(number)
}

func fromResponse(r *peerpb.ExecuteReply) exchange.Response {
	return exchange.Response{
		Outcome:    fromOutcome(r.GetOutcome()),
		Code:       exchange.Code(r.GetCode()),
		Message:    r.GetMessage(),
		Status:     int(r.GetStatus()),
		Headers:    fromHeaders(r.GetHeaders()),
		Body:       r.GetBody(),
		RetryAfter: time.Duration(r.GetAfterMs()) * time.Millisecond,
		Load: exchange.Load{
			Slots:  fleet.Slots(r.GetLoad().GetSlots()),
			Busy:   fleet.Slots(r.GetLoad().GetBusy()),
			Queued: int(r.GetLoad().GetQueued()),
		},
	}
}

func toHandover(h once.Handover) *peerpb.HandoverRequest {
	records := make([]*peerpb.RequestRecord, 0, len(h.Records))
	for _, r := range h.Records {
		records = append(records, &peerpb.RequestRecord{
			Token:       string(r.Token),
			Key:         string(r.Key),
			Fingerprint: r.Fingerprint[:],
			Answer:      toResponse(r.Response),
			BodyDropped: r.BodyDropped,
		})
	}
	return &peerpb.HandoverRequest{
		Home:      toID(h.Home),
		Secret:    h.Secret,
		ElapsedNs: h.Elapsed.Nanoseconds(),
		UntilNs:   h.LastTokenExpiry.Nanoseconds(),
		Complete:  h.Complete,
		Batch:     uint32(h.BatchIndex),
		Batches:   uint32(h.BatchCount),
		Records:   records,
	}
}

func fromHandover(h *peerpb.HandoverRequest) once.Handover {
	records := make([]once.Record, 0, len(h.GetRecords()))
	for _, r := range h.GetRecords() {
		record := once.Record{
			Token:       once.Token(r.GetToken()),
			Key:         fleet.Key(r.GetKey()),
			Response:    fromResponse(r.GetAnswer()),
			BodyDropped: r.GetBodyDropped(),
		}
		copy(record.Fingerprint[:], r.GetFingerprint())
		records = append(records, record)
	}
	return once.Handover{
		Home:            fromID(h.GetHome()),
		Secret:          h.GetSecret(),
		Elapsed:         time.Duration(h.GetElapsedNs()),
		LastTokenExpiry: time.Duration(h.GetUntilNs()),
		Complete:        h.GetComplete(),
		BatchIndex:      int(h.GetBatch()),
		BatchCount:      int(h.GetBatches()),
		Records:         records,
	}
}
