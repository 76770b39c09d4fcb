package table

import (
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/jsonc"
)

// MaxFileBytes bounds a table file.
const MaxFileBytes = 64 << 20

// ParseFile reads a table file: JSON with comments and trailing commas. Every
// unknown or repeated field and every value of the wrong type is a fault with
// its line; the error is then Faults. The table is normalized, not validated.
func ParseFile(data []byte) (*cove.Table, error) {
	if len(data) > MaxFileBytes {
		return nil, errors.Errorf("table file is over %d bytes", MaxFileBytes)
	}
	t := new(cove.Table)
	shapeFaults, err := jsonc.Unmarshal(data, t)
	if err != nil {
		return nil, errors.Wrap(err, "table file")
	}
	var faults Faults
	for _, f := range shapeFaults {
		faults = append(faults, Fault{Line: f.Line, Field: f.Field, Problem: f.Text})
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return Normalize(t), nil
}
