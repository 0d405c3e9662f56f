package wire

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// PathTransfer is the path that returns a TransferStatus.
const PathTransfer = "/peer/transfer"

// TransferStatus is the state of the weight transfer at one agent. Byte
// counts are totals since the process started.
type TransferStatus struct {
	Root    fleet.Digest `json:"root"`
	Chunks  int          `json:"chunks"`
	Missing int          `json:"missing"`
	// Started and Completed are when the transfer of Root started and completed;
	// zero until then.
	Started   time.Time `json:"started,omitzero"`
	Completed time.Time `json:"completed,omitzero"`
	// Aborted counts transfers that ended before they were complete.
	Aborted int64 `json:"ended"`
	// UpBytes and DownBytes are the bytes sent and received over the machine's
	// network link.
	UpBytes   int64 `json:"up_bytes"`
	DownBytes int64 `json:"down_bytes"`
	// RegionBytes is the part of DownBytes that came from another region.
	RegionBytes int64 `json:"region_bytes"`
	// BusyAnswers, CorruptChunks and FailedRequests count chunk requests that did
	// not result in a verified chunk.
	BusyAnswers    int64 `json:"busy_answers"`
	CorruptChunks  int64 `json:"corrupt_chunks"`
	FailedRequests int64 `json:"failed_requests"`
	// HeldBytes is the amount of memory that chunks use.
	HeldBytes int64 `json:"held_bytes"`
}
