package telemetry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// zerolog has one time format for all loggers of a process, so it is set before the first logger exists.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLog returns a logger that writes JSON lines with timestamps in time.RFC3339Nano format.
func NewLog(w io.Writer, level, host string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "logLevel")
	}
	return zerolog.New(zerolog.SyncWriter(w)).Level(l).With().Timestamp().Str("host", host).Logger(), nil
}
