package wire

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/timeline"
)

const (
	// MaxHeartbeatBytes bounds a heartbeat; the usual size is below 5 KB.
	MaxHeartbeatBytes = 128 << 10
	// maxHeartbeatMembers bounds the members in a heartbeat.
	maxHeartbeatMembers = 128
	// bucketBytes is the length of the hash of one bucket.
	bucketBytes = 4
	// maxReports bounds the reporters of one suspect.
	maxReports = 16
)

// Heartbeat is the encoding of a gossip.Heartbeat. Names are short, since each
// process sends and receives at least one heartbeat a second.
type Heartbeat struct {
	From     MemberRecord    `json:"from"`
	Stamp    config.Stamp    `json:"stamp"`
	Starting bool            `json:"starting,omitempty"`
	FreshMS  int64           `json:"fresh_ms"`
	Members  []MemberRecord  `json:"members,omitempty"`
	Suspects []SuspectRecord `json:"suspects,omitempty"`
	// Buckets holds the hashes as 4 bytes each, most significant first.
	Buckets []byte `json:"buckets,omitempty"`
	// SuspectsHash is sent together with Buckets.
	SuspectsHash uint32         `json:"sh,omitempty"`
	Clock        timeline.Stamp `json:"clock"`
}

// MemberRecord is the encoding of a gossip.Member.
type MemberRecord struct {
	ID            fleet.InstanceID    `json:"id"`
	Role          fleet.Role          `json:"r,omitempty"`
	Service       fleet.Service       `json:"s,omitempty"`
	Address       string              `json:"a"`
	FailureDomain fleet.FailureDomain `json:"d,omitempty"`
	Region        fleet.Region        `json:"g,omitempty"`
	// State is empty for a live instance.
	State fleet.InstanceState `json:"x,omitempty"`
	// Serving holds the bytes of the root, or none.
	Serving     []byte            `json:"v,omitempty"`
	Switching   bool              `json:"w,omitempty"`
	Incarnation fleet.Incarnation `json:"i,omitempty"`
	Sequence    uint64            `json:"n,omitempty"`
	ListState   gossip.ListState  `json:"ls,omitempty"`
	ListRev     uint64            `json:"lr,omitempty"`
	ListInc     fleet.Incarnation `json:"li,omitempty"`
}

// SuspectRecord is the encoding of a gossip.Suspect.
type SuspectRecord struct {
	Fingerprint string         `json:"f"`
	Epoch       uint32         `json:"e,omitempty"`
	Reports     []ReportRecord `json:"r,omitempty"`
	LastMS      int64          `json:"t"`
}

// ReportRecord is the encoding of a gossip.Report.
type ReportRecord struct {
	Instance    fleet.InstanceID  `json:"id"`
	Incarnation fleet.Incarnation `json:"inc"`
	Count       uint32            `json:"n"`
}

// EncodeHeartbeat returns the JSON of a heartbeat with the sender's clock.
func EncodeHeartbeat(h *gossip.Heartbeat, clock timeline.Stamp) ([]byte, error) {
	m := Heartbeat{From: memberRecord(h.From), Stamp: h.Stamp, Starting: h.Starting, FreshMS: -1,
		SuspectsHash: h.SuspectsHash, Clock: clock}
	if h.ServiceReadAge >= 0 {
		m.FreshMS = h.ServiceReadAge.Milliseconds()
	}
	for _, r := range h.Members {
		m.Members = append(m.Members, memberRecord(r))
	}
	for _, s := range h.Suspects {
		m.Suspects = append(m.Suspects, suspectRecord(s))
	}
	for _, b := range h.Buckets {
		m.Buckets = binary.BigEndian.AppendUint32(m.Buckets, b)
	}
	data, err := json.Marshal(m)
	return data, eris.Wrap(err, "encode heartbeat")
}

// DecodeHeartbeat reads a heartbeat and checks all bounds.
func DecodeHeartbeat(data []byte) (*gossip.Heartbeat, timeline.Stamp, error) {
	if len(data) > MaxHeartbeatBytes {
		return nil, timeline.Stamp{}, eris.Errorf("heartbeat has %d bytes, the limit is %d", len(data), MaxHeartbeatBytes)
	}
	return decode(data, maxHeartbeatMembers)
}

// DecodeTable reads the answer of PathMembers, which holds the whole table.
func DecodeTable(data []byte) (*gossip.Heartbeat, timeline.Stamp, error) {
	return decode(data, gossip.MaxMembers)
}

func decode(data []byte, members int) (*gossip.Heartbeat, timeline.Stamp, error) {
	var m Heartbeat
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, m.Clock, eris.Wrap(err, "heartbeat is not valid JSON")
	}
	if len(m.Members) > members || len(m.Suspects) > gossip.MaxSuspects || len(m.Buckets) != 0 && len(m.Buckets) != bucketBytes*gossip.BucketCount {
		return nil, m.Clock, eris.Errorf("heartbeat has %d members, %d suspects and %d bytes of hashes, which is out of bounds",
			len(m.Members), len(m.Suspects), len(m.Buckets))
	}
	h := &gossip.Heartbeat{Stamp: m.Stamp, Starting: m.Starting, ServiceReadAge: -1, SuspectsHash: m.SuspectsHash}
	if m.FreshMS >= 0 && m.FreshMS < int64(maxFresh/time.Millisecond) {
		h.ServiceReadAge = time.Duration(m.FreshMS) * time.Millisecond
	}
	var err error
	if h.From, err = member(m.From); err != nil {
		return nil, m.Clock, err
	}
	for _, r := range m.Members {
		// A record that cannot be a member is left out. If it made the whole
		// message invalid, one bad record would stop all exchanges.
		if next, err := member(r); err == nil {
			h.Members = append(h.Members, next)
		}
	}
	for _, r := range m.Suspects {
		next, err := suspect(r)
		if err != nil {
			return nil, m.Clock, err
		}
		h.Suspects = append(h.Suspects, next)
	}
	for b := range slices.Chunk(m.Buckets, bucketBytes) {
		h.Buckets = append(h.Buckets, binary.BigEndian.Uint32(b))
	}
	return h, m.Clock, nil
}

// maxFresh bounds the age of a read; an older one is as good as none.
const maxFresh = 24 * time.Hour

func memberRecord(m gossip.Member) MemberRecord {
	r := MemberRecord{
		ID: m.ID, Role: m.Role, Service: m.Service, Address: m.Address,
		FailureDomain: m.FailureDomain, Region: m.Region, State: m.State, Switching: m.Switching,
		Incarnation: m.Version.Incarnation, Sequence: m.Version.Sequence,
		ListState: m.Listed.State, ListRev: m.Listed.Revision, ListInc: m.Listed.Incarnation,
	}
	if m.State == fleet.StateLive {
		r.State = ""
	}
	if !m.Serving.IsZero() {
		r.Serving = m.Serving[:]
	}
	return r
}

func member(r MemberRecord) (gossip.Member, error) {
	m := gossip.Member{
		Instance: fleet.Instance{
			ID: r.ID, Role: r.Role, Service: r.Service, Address: r.Address,
			FailureDomain: r.FailureDomain, Region: r.Region, State: r.State, Switching: r.Switching,
		},
		Version: gossip.Version{Incarnation: r.Incarnation, Sequence: r.Sequence},
		Listed:  gossip.Listing{State: r.ListState, Revision: r.ListRev, Incarnation: r.ListInc},
	}
	if r.State == "" {
		m.State = fleet.StateLive
	}
	if len(r.Serving) != 0 && copy(m.Serving[:], r.Serving) != len(r.Serving) {
		return m, eris.Errorf("root of member %q has %d bytes, the limit is %d", r.ID, len(r.Serving), fleet.DigestSize)
	}
	return m, checkMember(&m)
}

func checkMember(m *gossip.Member) error {
	if m.Listed.State > gossip.Delisted {
		return eris.Errorf("list state of member %q is %d", m.ID, m.Listed.State)
	}
	return m.Check()
}

func suspectRecord(s gossip.Suspect) SuspectRecord {
	r := SuspectRecord{Fingerprint: s.Fingerprint, Epoch: s.Epoch, LastMS: s.Last.UnixMilli()}
	for _, report := range s.Reports {
		r.Reports = append(r.Reports, ReportRecord(report))
	}
	return r
}

func suspect(r SuspectRecord) (gossip.Suspect, error) {
	s := gossip.Suspect{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Last: time.UnixMilli(r.LastMS)}
	if r.Fingerprint == "" || len(r.Fingerprint) > fleet.MaxNameBytes || len(r.Reports) > maxReports {
		return s, eris.Errorf("suspect has a fingerprint of %d bytes and %d reports", len(r.Fingerprint), len(r.Reports))
	}
	for _, report := range r.Reports {
		if len(report.Instance) > fleet.MaxNameBytes {
			return s, eris.Errorf("reporter of a suspect has %d bytes, the limit is %d", len(report.Instance), fleet.MaxNameBytes)
		}
		s.Reports = append(s.Reports, gossip.Report(report))
	}
	return s, nil
}
