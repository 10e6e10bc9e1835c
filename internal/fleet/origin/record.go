package origin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
)

// Record is the origin of one stream. Of several for one stream that with the highest
// Attempt counts.
type Record struct {
	// Stream is a Key.
	Stream uint64
	Origin
	// Attempt grows with each backend server to which the request is sent that begins the
	// stream.
	Attempt uint8
}

// Latest returns the origin of each stream.
func Latest(records []Record) map[uint64]Record {
	latest := make(map[uint64]Record, len(records))
	for _, r := range records {
		if known, ok := latest[r.Stream]; !ok || r.Attempt > known.Attempt {
			latest[r.Stream] = r
		}
	}
	return latest
}

// group has the streams of one origin in the entry of the store.
type group struct {
	Origin
	Attempt uint8 `json:",omitempty"`
	// Streams are the keys, 8 bytes each, big-endian, in base64.
	Streams string
}

// MaxRecords bounds the records of one entry of the store.
const MaxRecords = 1 << 12

// EncodeRecords returns the entry of the store with the records.
func EncodeRecords(records []Record) []byte {
	var groups []group
	var keys []byte
	for i, r := range records {
		keys = binary.BigEndian.AppendUint64(keys, r.Stream)
		if i+1 == len(records) || records[i+1].Origin != r.Origin || records[i+1].Attempt != r.Attempt {
			groups = append(groups, group{r.Origin, r.Attempt, base64.RawStdEncoding.EncodeToString(keys)})
			keys = keys[:0]
		}
	}
	// Strings can always be encoded.
	data, _ := json.Marshal(struct{ Records []group }{groups})
	return data
}

// ParseRecords decodes an entry of the store. Its errors wrap ErrInvalid.
func ParseRecords(data []byte) ([]Record, error) {
	var entry struct{ Records []group }
	if err := json.Unmarshal(data, &entry); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var records []Record
	for _, g := range entry.Records {
		keys, err := base64.RawStdEncoding.DecodeString(g.Streams)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		if len(keys)%8 != 0 || len(records)+len(keys)/8 > MaxRecords || !g.Valid() {
			return nil, fmt.Errorf("%w: %d bytes of keys behind %d records", ErrInvalid, len(keys), len(records))
		}
		for ; len(keys) > 0; keys = keys[8:] {
			records = append(records, Record{binary.BigEndian.Uint64(keys), g.Origin, g.Attempt})
		}
	}
	return records, nil
}
