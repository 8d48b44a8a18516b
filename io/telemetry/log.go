package telemetry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// The library keeps the format of times for all loggers of a process, so it is set before the first one runs.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLog returns a logger of JSON lines with times to the microsecond.
func NewLog(w io.Writer, level, host string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "logLevel")
	}
	return zerolog.New(zerolog.SyncWriter(w)).Level(l).With().Timestamp().Str("host", host).Logger(), nil
}
