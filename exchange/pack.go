package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"

	"github.com/gravitational/trace"
)

const (
	// packBytes is the size from which values are compressed: a configuration of 2,000 routes has 300 KB, which takes a
	// considerable time on links of 10 Mbit/s.
	packBytes = 4 << 10
	// maxUnpackedBytes limits the size of a decompressed value from a peer; the store accepts 256 KiB a record.
	maxUnpackedBytes = 16 << 20
)

// pack compresses a large value; peers that forward the record don't unpack it.
func (rec *Record) pack() error {
	if rec.Packed || len(rec.Value) < packBytes {
		return nil
	}
	packed, err := deflate(rec.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	rec.Value, rec.Packed = packed, true
	return nil
}

// unpack decompresses the value if it is compressed.
func (rec *Record) unpack() error {
	if !rec.Packed {
		return nil
	}
	value, err := inflate(rec.Value)
	if err != nil {
		return trace.Wrap(err, "record %q", rec.Key)
	}
	rec.Value, rec.Packed = value, false
	return nil
}

// pack returns a copy of the part for the transfer between daemons. The records of a whole topic are many small ones that are
// alike, so they are compressed together.
func (prt *TopicPart) pack() (*TopicPart, error) {
	packed := *prt
	var err error
	if !prt.Whole {
		packed.Records, err = prt.each((*Record).pack)
		return &packed, trace.Wrap(err)
	}
	data, err := json.Marshal(prt.Records)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	packed.Records = nil
	packed.Packed, err = deflate(data)
	return &packed, trace.Wrap(err)
}

// unpack returns the part's records, decompressed.
func (prt *TopicPart) unpack() ([]Record, error) {
	if len(prt.Packed) == 0 {
		return prt.each((*Record).unpack)
	}
	data, err := inflate(prt.Packed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var records []Record
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, trace.BadParameter("records are not valid: %v", err)
	}
	return records, nil
}

// each returns a copy of the part's records to which change was applied; the part itself, which may be forwarded, is
// not modified.
func (prt *TopicPart) each(change func(rec *Record) error) ([]Record, error) {
	records := slices.Clone(prt.Records)
	for i := range records {
		if err := change(&records[i]); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return records, nil
}

func deflate(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	wri, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := wri.Write(data); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := wri.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

func inflate(packed []byte) ([]byte, error) {
	rdr := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(rdr, maxUnpackedBytes+1))
	switch {
	case err != nil:
		return nil, trace.BadParameter("compressed data is not valid: %v", err)
	case len(data) > maxUnpackedBytes:
		return nil, trace.BadParameter("compressed data is larger than %d bytes", maxUnpackedBytes)
	}
	return data, nil
}
