package datagram

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/gateway"
	"galenaridge/core/quota"
	"galenaridge/core/workset"
	"galenaridge/io/peer/peerpb"
)

// inbox is a Receiver that keeps all messages.
type inbox struct {
	heartbeats []workset.Heartbeat
	reports    []gateway.Report
}

func (i *inbox) HandleHeartbeat(heartbeat workset.Heartbeat) {
	i.heartbeats = append(i.heartbeats, heartbeat)
}
func (i *inbox) HandleReport(report gateway.Report) { i.reports = append(i.reports, report) }

// TestRoundTrip guards against fields that are lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	heartbeat := workset.Heartbeat{
		Member: fleet.Member{ID: "i", Incarnation: 7}, Domain: "a", PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2",
		Leaving: true, Ready: true, StoreUnreachable: true, Slow: true, Active: true, Interval: 200 * time.Millisecond, Uptime: time.Minute,
		Cores: 0.3, RequestRate: 12.5, Version: 3, Position: fleet.Position{Era: 2, Revision: 9}, CopyAge: time.Second, DomainSize: 40, DomainHeard: 33, ConfigAge: 3 * time.Second, ReadsStore: true, ReadAge: 80 * time.Millisecond, OutageAge: 720 * time.Millisecond,
		Contacts: []fleet.Address{"10.0.0.2:1"}, RequestsContacts: true,
	}
	report := gateway.Report{
		Sender: fleet.Member{ID: "i", Incarnation: 7},
		Quota: quota.Report{
			Sequence: 3, Complete: true, Admitting: 6, Minority: true, Leaving: true,
			Acks: []quota.Ack{{Instance: 7, Sequence: 8}},
			Uses: []quota.Use{{Key: 9, Total: 20, Window: 4, Reserved: 6, Known: []uint32{1, 2, 3, 4, 5}}, {Key: 10, Total: 1, Window: 1, Known: []uint32{0, 0, 0, 0, 1}}},
		},
		ServerReports: []balance.ServerReport{
			{Key: 5, Outstanding: 3, FailureProbability: 0.25, EvidenceAge: 40 * time.Millisecond, RequestAge: 50 * time.Millisecond},
			{Key: 6, FailureProbability: 0.5, Withheld: true},
		},
	}
	var got inbox
	data, err := encodeHeartbeat(heartbeat)
	require.NoError(t, err)
	require.NoError(t, deliver(data, &got))
	data, err = encodeReport(report)
	require.NoError(t, err)
	require.NoError(t, deliver(data, &got))
	require.Equal(t, []workset.Heartbeat{heartbeat}, got.heartbeats)
	require.Equal(t, []gateway.Report{report}, got.reports)
}

// TestConfigAge guards against a configuration that counts as confirmed because a peer of an
// earlier release, or one whose configuration is as old as its copy, does not send its age.
func TestConfigAge(t *testing.T) {
	tests := []struct {
		name                 string
		copyAge, configAge   time.Duration
		wantCopy, wantConfig time.Duration
	}{
		{"not sent", time.Second, 0, time.Second, time.Second},
		{"equal", time.Second, time.Second, time.Second, time.Second},
		{"younger than the copy", 2 * time.Second, time.Second, 2 * time.Second, 2 * time.Second},
		{"older than the copy", time.Second, 2 * time.Second, time.Second, 2 * time.Second},
		{"unknown", time.Second, 100 * time.Hour, time.Second, maxAge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := encodeHeartbeat(workset.Heartbeat{
				Member: fleet.Member{ID: "i"}, PeerAddress: "p", CallerAddress: "c", Interval: time.Second,
				CopyAge: test.copyAge, ConfigAge: test.configAge,
			})
			require.NoError(t, err)
			var got inbox
			require.NoError(t, deliver(data, &got))
			require.Equal(t, test.wantCopy, got.heartbeats[0].CopyAge)
			require.Equal(t, test.wantConfig, got.heartbeats[0].ConfigAge)
		})
	}
}

// FuzzDeliver guards against datagrams that cause a panic or deliver an interval
// that is out of range.
func FuzzDeliver(f *testing.F) {
	data, err := encodeHeartbeat(workset.Heartbeat{Member: fleet.Member{ID: "i"}, PeerAddress: "p", CallerAddress: "c", Interval: time.Second})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var got inbox
		if deliver(data, &got) != nil {
			require.Empty(t, got.heartbeats)
			require.Empty(t, got.reports)
			return
		}
		for _, heartbeat := range got.heartbeats {
			require.Positive(t, heartbeat.Interval)
			require.LessOrEqual(t, heartbeat.Interval, maxInterval)
		}
	})
}

// TestDecodeQuota guards against reports that a faulty or hostile sender could use to
// overflow counts or to crash an instance, and against refusing those of earlier releases.
func TestDecodeQuota(t *testing.T) {
	tests := []struct {
		name  string
		quota *peerpb.Quota
		valid bool
	}{
		{"of an earlier release", nil, true},
		{"empty", &peerpb.Quota{}, true},
		{"without what others admitted", &peerpb.Quota{Customer: []uint32{1}, Total: []uint64{5}, Window: []uint32{5}}, true},
		{"no total", &peerpb.Quota{Customer: []uint32{1}, Window: []uint32{5}}, false},
		{"no window", &peerpb.Quota{Customer: []uint32{1}, Total: []uint64{5}}, false},
		{"no customer", &peerpb.Quota{Total: []uint64{5}, Window: []uint32{5}}, false},
		{"more in the window than in total", &peerpb.Quota{Customer: []uint32{1}, Total: []uint64{4}, Window: []uint32{5}}, false},
		{"huge window", &peerpb.Quota{Customer: []uint32{1}, Total: []uint64{1 << 40}, Window: []uint32{1 << 31}}, false},
		{"too few parts", &peerpb.Quota{Customer: []uint32{1}, Total: []uint64{5}, Window: []uint32{5}, Known: []uint32{1, 2}}, false},
		{"reserves of other customers", &peerpb.Quota{Customer: []uint32{1}, Total: []uint64{5}, Window: []uint32{5}, Reserved: []uint32{1, 2}}, false},
		{"huge part", &peerpb.Quota{Customer: []uint32{1}, Total: []uint64{5}, Window: []uint32{5}, Known: []uint32{1, 2, 3, 4, 1 << 31}}, false},
		{"acknowledgement without a sequence", &peerpb.Quota{Heard: []uint32{1}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := decodeReport(&peerpb.Report{Id: "i", Quota: test.quota})
			if test.valid {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
		})
	}
}

// TestReportSize guards against reports of quotas that do not fit into one packet.
func TestReportSize(t *testing.T) {
	for _, uses := range []int{quota.MaxUses, quota.MaxProfiledUses} {
		report := gateway.Report{Sender: fleet.Member{ID: "a-name-of-28-characters-long", Incarnation: 1 << 63}}
		for range quota.MaxAcks {
			report.Quota.Acks = append(report.Quota.Acks, quota.Ack{Instance: 1 << 31, Sequence: 1 << 31})
		}
		for range uses {
			use := quota.Use{Key: 1 << 31, Total: 1 << 34, Window: 16_000, Reserved: 1_000}
			if uses == quota.MaxProfiledUses {
				use.Known = []uint32{16_000, 16_000, 16_000, 16_000, 16_000}
			}
			report.Quota.Uses = append(report.Quota.Uses, use)
		}
		data, err := encodeReport(report)
		require.NoError(t, err)
		t.Logf("%d customers: %d bytes", uses, len(data))
		require.LessOrEqual(t, len(data), 1200)
	}
}
