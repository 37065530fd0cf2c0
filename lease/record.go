// Package lease makes sure that only one daemon at a time sends orders to the engines of a pool. It uses leases that
// are kept in the log and carry fencing tokens.
package lease

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Stream is the log stream that holds the leases of all pools. Every daemon reads it.
const Stream = "placement"

// Record takes or refreshes the lease of one pool.
type Record struct {
	Pool string `json:"pool"`
	// Holder is a daemon incarnation. A daemon recognises its own record by it if the answer to the append is lost.
	Holder string `json:"holder"`
	// BasedOn is the offset of the pool's last accepted record, or -1 if there is none.
	BasedOn int64 `json:"basedOn"`
	// Renewals is an offset in the pool's renewal stream; a new reader starts there and needs no earlier renewal.
	Renewals int64 `json:"renewals,omitempty"`
}

// ParseRecord reads a record of the stream.
func ParseRecord(body []byte) (Record, error) {
	var rec Record
	if err := decode(body, &rec); err != nil {
		return Record{}, trace.BadParameter("lease record is not valid: %v", err)
	}
	if rec.Pool == "" || rec.Holder == "" {
		return Record{}, trace.BadParameter("lease record lacks its pool or holder")
	}
	return rec, nil
}

// Serialize formats the record for the log.
func (rec Record) Serialize() ([]byte, error) {
	data, err := json.Marshal(rec)
	return data, trace.Wrap(err)
}

// Renewal shows that a holder is still alive.
type Renewal struct {
	// Token is the offset of the holder's last lease record.
	Token int64 `json:"token"`
}

// RenewalStream returns the name of the log stream of a pool's renewals, which only the pool's watchers read.
func RenewalStream(pool string) string {
	return Stream + "-" + pool
}

// ParseRenewal reads a record of a renewal stream.
func ParseRenewal(body []byte) (Renewal, error) {
	var ren Renewal
	if err := decode(body, &ren); err != nil {
		return Renewal{}, trace.BadParameter("renewal is not valid: %v", err)
	}
	return ren, nil
}

// Serialize formats the renewal for the log.
func (ren Renewal) Serialize() ([]byte, error) {
	data, err := json.Marshal(ren)
	return data, trace.Wrap(err)
}

func decode(body []byte, value any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(value)
}
