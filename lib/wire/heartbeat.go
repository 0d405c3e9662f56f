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
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/timeline"
)

const (
	// MaxHeartbeatBytes is the maximum size of a heartbeat; the usual size is
	// below 5 KB.
	MaxHeartbeatBytes = 128 << 10
	// maxHeartbeatMembers is the maximum number of members in a heartbeat.
	maxHeartbeatMembers = 128
	// bucketHashBytes is the length of the hash of one bucket.
	bucketHashBytes = 4
)

// Heartbeat is the encoding of a gossip.Heartbeat. The JSON names are short,
// since each process sends and receives at least one heartbeat per second.
type Heartbeat struct {
	From     MemberRecord `json:"from"`
	Stamp    config.Stamp `json:"stamp"`
	Starting bool         `json:"starting,omitempty"`
	// ReadAgeMS is the age in milliseconds of the last successful read of the
	// configuration service; negative if none is known.
	ReadAgeMS int64           `json:"fresh_ms"`
	Members   []MemberRecord  `json:"members,omitempty"`
	Crashes   []poison.Report `json:"crashes,omitempty"`
	// Buckets holds the hashes of all buckets, 4 bytes each, big-endian.
	Buckets []byte         `json:"buckets,omitempty"`
	Clock   timeline.Stamp `json:"clock"`
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
	// Serving holds the bytes of the root that is served; empty for none.
	Serving         []byte            `json:"v,omitempty"`
	Switching       bool              `json:"w,omitempty"`
	Incarnation     fleet.Incarnation `json:"i,omitempty"`
	Sequence        uint64            `json:"n,omitempty"`
	ListState       gossip.ListState  `json:"ls,omitempty"`
	ListRevision    uint64            `json:"lr,omitempty"`
	ListIncarnation fleet.Incarnation `json:"li,omitempty"`
}

// EncodeHeartbeat returns the JSON encoding of a heartbeat with the sender's
// clock.
func EncodeHeartbeat(h *gossip.Heartbeat, clock timeline.Stamp) ([]byte, error) {
	m := Heartbeat{From: encodeMember(h.From), Stamp: h.Stamp, Starting: h.Starting, ReadAgeMS: -1,
		Crashes: h.Crashes, Clock: clock}
	if h.ServiceReadAge >= 0 {
		m.ReadAgeMS = h.ServiceReadAge.Milliseconds()
	}
	for _, r := range h.Members {
		m.Members = append(m.Members, encodeMember(r))
	}
	for _, b := range h.Buckets {
		m.Buckets = binary.BigEndian.AppendUint32(m.Buckets, b)
	}
	data, err := json.Marshal(m)
	return data, eris.Wrap(err, "encode heartbeat")
}

// DecodeHeartbeat parses a heartbeat and returns it with the sender's clock. It
// returns an error if the heartbeat exceeds a limit or is not valid.
func DecodeHeartbeat(data []byte) (*gossip.Heartbeat, timeline.Stamp, error) {
	if len(data) > MaxHeartbeatBytes {
		return nil, timeline.Stamp{}, eris.Errorf("heartbeat has %d bytes, the limit is %d", len(data), MaxHeartbeatBytes)
	}
	return decodeHeartbeat(data, maxHeartbeatMembers, poison.MaxReports)
}

// DecodeTable parses the response of PathMembers, a heartbeat with the whole
// member table. It has at most gossip.MaxMembers members.
func DecodeTable(data []byte) (*gossip.Heartbeat, timeline.Stamp, error) {
	return decodeHeartbeat(data, gossip.MaxMembers, poison.MaxRecords)
}

func decodeHeartbeat(data []byte, maxMembers, maxCrashes int) (*gossip.Heartbeat, timeline.Stamp, error) {
	var m Heartbeat
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, m.Clock, eris.Wrap(err, "heartbeat is not valid JSON")
	}
	if len(m.Members) > maxMembers || len(m.Crashes) > maxCrashes || len(m.Buckets) != 0 && len(m.Buckets) != bucketHashBytes*gossip.BucketCount {
		return nil, m.Clock, eris.Errorf("heartbeat has %d members, %d crashes and %d bytes of hashes, which is out of bounds",
			len(m.Members), len(m.Crashes), len(m.Buckets))
	}
	h := &gossip.Heartbeat{Stamp: m.Stamp, Starting: m.Starting, ServiceReadAge: -1, Crashes: m.Crashes}
	if m.ReadAgeMS >= 0 && m.ReadAgeMS < int64(maxReadAge/time.Millisecond) {
		h.ServiceReadAge = time.Duration(m.ReadAgeMS) * time.Millisecond
	}
	var err error
	if h.From, err = decodeMember(m.From); err != nil {
		return nil, m.Clock, err
	}
	for _, r := range m.Members {
		// An invalid member is skipped. If it made the whole message invalid, a
		// single bad record would stop all exchanges.
		if next, err := decodeMember(r); err == nil {
			h.Members = append(h.Members, next)
		}
	}
	for i := range m.Crashes {
		if !m.Crashes[i].Valid() {
			return nil, m.Clock, eris.Errorf("crash %d has impossible numbers", m.Crashes[i].Crash)
		}
	}
	for b := range slices.Chunk(m.Buckets, bucketHashBytes) {
		h.Buckets = append(h.Buckets, binary.BigEndian.Uint32(b))
	}
	return h, m.Clock, nil
}

// maxReadAge is the age up to which a read of the configuration service counts.
// An older one is decoded as if there was none.
const maxReadAge = 24 * time.Hour

func encodeMember(m gossip.Member) MemberRecord {
	r := MemberRecord{
		ID: m.ID, Role: m.Role, Service: m.Service, Address: m.Address,
		FailureDomain: m.FailureDomain, Region: m.Region, State: m.State, Switching: m.Switching,
		Incarnation: m.Version.Incarnation, Sequence: m.Version.Sequence,
		ListState: m.Listed.State, ListRevision: m.Listed.Revision, ListIncarnation: m.Listed.Incarnation,
	}
	if m.State == fleet.StateLive {
		r.State = ""
	}
	if !m.Serving.IsZero() {
		r.Serving = m.Serving[:]
	}
	return r
}

func decodeMember(r MemberRecord) (gossip.Member, error) {
	m := gossip.Member{
		Instance: fleet.Instance{
			ID: r.ID, Role: r.Role, Service: r.Service, Address: r.Address,
			FailureDomain: r.FailureDomain, Region: r.Region, State: r.State, Switching: r.Switching,
		},
		Version: gossip.Version{Incarnation: r.Incarnation, Sequence: r.Sequence},
		Listed:  gossip.Listing{State: r.ListState, Revision: r.ListRevision, Incarnation: r.ListIncarnation},
	}
	if r.State == "" {
		m.State = fleet.StateLive
	}
	if len(r.Serving) != 0 && copy(m.Serving[:], r.Serving) != len(r.Serving) {
		return m, eris.Errorf("root of member %q has %d bytes, the limit is %d", r.ID, len(r.Serving), fleet.DigestSize)
	}
	return m, checkMember(&m)
}

// maxNumber is the greatest number in a member record. A process overrides a record of
// itself with the number after it, which must not overflow.
const maxNumber = 1 << 62

func checkMember(m *gossip.Member) error {
	for _, i := range []fleet.Incarnation{m.Version.Incarnation, m.Listed.Incarnation} {
		if i < 0 || i > maxNumber {
			return eris.Errorf("incarnation of member %q is %d", m.ID, i)
		}
	}
	if m.Version.Sequence > maxNumber || m.Listed.Revision > maxNumber {
		return eris.Errorf("sequence or list revision of member %q is out of range", m.ID)
	}
	if m.Listed.State > gossip.Delisted {
		return eris.Errorf("list state of member %q is %d", m.ID, m.Listed.State)
	}
	return m.Check()
}
