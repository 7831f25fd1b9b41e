package datagram

import (
	"slices"

	"github.com/rotisserie/eris"

	"galenaridge/core/quota"
	"galenaridge/io/peer/peerpb"
)

// maxWindowUse is the largest accepted use of a customer in a window. Larger numbers could
// overflow the counts of the receiver.
const maxWindowUse = 10_000_000

// encodeQuota converts the report of a limiter.
func encodeQuota(report quota.Report) *peerpb.Quota {
	message := &peerpb.Quota{Sequence: uint32(report.Sequence), Complete: report.Complete, Leaving: report.Leaving, Admitting: uint32(report.Admitting), Minority: report.Minority}
	for _, ack := range report.Acks {
		message.Heard = append(message.Heard, uint32(ack.Instance))
		message.HeardSequence = append(message.HeardSequence, uint32(ack.Sequence))
	}
	hasReserves := slices.ContainsFunc(report.Uses, func(u quota.Use) bool { return u.Reserved > 0 })
	for _, use := range report.Uses {
		if hasReserves {
			message.Reserved = append(message.Reserved, use.Reserved)
		}
		message.Customer = append(message.Customer, uint32(use.Key))
		message.Total = append(message.Total, use.Total)
		message.Window = append(message.Window, use.Window)
		message.Known = append(message.Known, use.Known...)
	}
	return message
}

// decodeQuota converts a received report of a limiter. It returns an error if repeated
// fields differ in length or if a number is impossible.
func decodeQuota(message *peerpb.Quota) (quota.Report, error) {
	n := len(message.GetCustomer())
	known := len(message.GetKnown())
	if len(message.GetTotal()) != n || len(message.GetWindow()) != n || known != 0 && known != n*quota.ProfileParts || len(message.GetReserved()) != 0 && len(message.GetReserved()) != n || len(message.GetHeard()) != len(message.GetHeardSequence()) {
		return quota.Report{}, eris.New("quota report has repeated fields of different lengths")
	}
	report := quota.Report{Sequence: quota.Sequence(message.GetSequence()), Complete: message.GetComplete(), Leaving: message.GetLeaving(), Admitting: int(min(message.GetAdmitting(), maxDomainSize)), Minority: message.GetMinority()}
	for i, instance := range message.GetHeard() {
		report.Acks = append(report.Acks, quota.Ack{Instance: quota.InstanceKey(instance), Sequence: quota.Sequence(message.GetHeardSequence()[i])})
	}
	for i, key := range message.GetCustomer() {
		use := quota.Use{Key: quota.Key(key), Total: message.GetTotal()[i], Window: message.GetWindow()[i]}
		if use.Window > maxWindowUse || uint64(use.Window) > use.Total {
			return quota.Report{}, eris.New("quota report has an impossible use")
		}
		if len(message.GetReserved()) > 0 {
			use.Reserved = min(message.GetReserved()[i], maxWindowUse)
		}
		if known > 0 {
			use.Known = message.GetKnown()[i*quota.ProfileParts : (i+1)*quota.ProfileParts]
		}
		for _, n := range use.Known {
			if n > maxWindowUse {
				return quota.Report{}, eris.New("quota report has an impossible use")
			}
		}
		report.Uses = append(report.Uses, use)
	}
	return report, nil
}
