package telemetry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// NewLog returns a logger of JSON lines with times to the microsecond.
func NewLog(w io.Writer, level, host string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "logLevel")
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(zerolog.SyncWriter(w)).Level(l).With().Timestamp().Str("host", host).Logger(), nil
}
