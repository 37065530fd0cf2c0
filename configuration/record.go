// Package configuration turns the records of the configuration stream into versions that every daemon agrees on.
package configuration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/inventory"
)

// Stream is the log stream that holds the configuration.
const Stream = "configuration"

// maxSnapshotBytes bounds a decompressed snapshot.
const maxSnapshotBytes = 64 << 20

// Record is one record of the stream; exactly one field is set.
type Record struct {
	Publish  *Publish  `json:"publish,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Publish requests changes to the version that it is based on.
type Publish struct {
	PublishID string             `json:"publishId"`
	BasedOn   int64              `json:"basedOn"`
	Author    string             `json:"author,omitempty"`
	Changes   []inventory.Change `json:"changes"`
}

// Snapshot holds the whole configuration of one version.
type Snapshot struct {
	Version int64 `json:"version"`
	// Offset is the offset of the record that created the version: a publish, or a restore's snapshot.
	Offset int64 `json:"offset"`
	// ReadTo is the offset before which every record is reflected in the snapshot.
	// Without it a reader could not distinguish a current snapshot from one that a slow daemon appended late.
	ReadTo int64 `json:"readTo"`
	// CoveredAt is the time of the oldest record that a new reader of the log needs.
	// It is set only in a snapshot that a daemon sends to a peer.
	CoveredAt time.Time `json:"coveredAt,omitzero"`
	// Content is the configuration as JSON, compressed with gzip.
	Content  []byte    `json:"content"`
	Outcomes []Outcome `json:"outcomes"`
}

// ParseRecord decodes a record, which must hold exactly one publish or one snapshot.
func ParseRecord(body []byte) (*Record, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var rec Record
	if err := dec.Decode(&rec); err != nil {
		return nil, trace.BadParameter("record is not valid: %v", err)
	}
	if (rec.Publish == nil) == (rec.Snapshot == nil) {
		return nil, trace.BadParameter("record must hold either a publish or a snapshot")
	}
	if rec.Publish != nil && rec.Publish.PublishID == "" {
		return nil, trace.BadParameter("publish has no publishId")
	}
	return &rec, nil
}

// Serialize encodes the record as JSON for the log.
func (rec *Record) Serialize() ([]byte, error) {
	data, err := json.Marshal(rec)
	return data, trace.Wrap(err)
}

func compress(cfg *inventory.Configuration) ([]byte, error) {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(cfg); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := zip.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

func decompress(content []byte) (*inventory.Configuration, error) {
	zip, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, trace.BadParameter("snapshot content is not valid: %v", err)
	}
	data, err := io.ReadAll(io.LimitReader(zip, maxSnapshotBytes+1))
	if err != nil {
		return nil, trace.BadParameter("snapshot content is not valid: %v", err)
	}
	if len(data) > maxSnapshotBytes {
		return nil, trace.BadParameter("snapshot content is larger than %d bytes", maxSnapshotBytes)
	}
	var cfg inventory.Configuration
	if err := json.Unmarshal(data, &cfg); err != nil {
		return nil, trace.BadParameter("snapshot content is not valid: %v", err)
	}
	return &cfg, nil
}
