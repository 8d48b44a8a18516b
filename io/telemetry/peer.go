package telemetry

import (
	"expvar"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleanderlever/core"
	"oleanderlever/io/control"
	"oleanderlever/io/socket"
)

const (
	rank          = 60
	headerTimeout = 5 * time.Second
)

func init() { control.Register(control.Peer{Name: "telemetry", Rank: rank, Open: open}) }

func open(h *control.Host) (control.Instance, error) {
	i := control.Instance{Perform: func(a core.Action) {
		if d, ok := a.(core.LogDecision); ok {
			decisions.Add(d.Decision.Component+"."+d.Decision.Choice, 1)
			logDecision(h.Log, &d.Decision)
		}
	}}
	if !h.Settings.Listen.Metrics.IsValid() {
		return i, nil
	}
	l, err := socket.Listen(h.Settings.Listen.Metrics)
	if err != nil {
		return i, errors.Wrap(err, "listen.metrics")
	}
	s := &http.Server{Handler: metricsHandler(h.Loop), ReadHeaderTimeout: headerTimeout}
	i.Start = func() { go func() { _ = s.Serve(l) }() }
	i.Close = func() {
		_ = s.Close()
		_ = l.Close()
	}
	return i, nil
}

// decisions counts the logged decisions by component and choice.
var decisions = expvar.NewMap("decisions")

// gauges holds the values of the components' gauges at the latest metrics request.
var gauges = expvar.NewMap("gauges")

// metricsHandler updates the kernel's gauges and then serves expvar.
func metricsHandler(loop *control.Loop) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		loop.Inspect(func(k *core.Kernel) {
			k.Gauges(func(name string, value int64) {
				v := new(expvar.Int)
				v.Set(value)
				gauges.Set(name, v)
			})
		})
		expvar.Handler().ServeHTTP(w, r)
	})
}

// logDecision writes a log line for a routing or placement decision.
func logDecision(log zerolog.Logger, d *core.Decision) {
	e := log.Info().Str("part", d.Component).Str("choice", d.Choice).Str("reason", d.Reason)
	if d.Request != "" {
		e = e.Str("request", string(d.Request)).Int("attempt", d.Attempt)
	}
	if d.Account != "" {
		e = e.Str("account", string(d.Account))
	}
	if d.Pool != "" {
		e = e.Str("pool", string(d.Pool))
	}
	if d.Target != "" {
		e = e.Str("target", d.Target).Float64("score", d.Score)
	}
	if d.PromptTokens > 0 || d.OutputTokens > 0 {
		e = e.Int64("prompt", int64(d.PromptTokens)).Int64("max", int64(d.MaxTokens)).Int64("output", int64(d.OutputTokens))
	}
	if d.Version > 0 {
		e = e.Uint64("version", uint64(d.Version))
	}
	if d.Age > 0 {
		e = e.Dur("ageMs", d.Age)
	}
	if d.Forecast > 0 {
		e = e.Dur("forecastMs", d.Forecast)
	}
	if d.RetryAfter > 0 {
		e = e.Dur("retryAfterMs", d.RetryAfter)
	}
	if d.Status > 0 {
		e = e.Int("status", d.Status)
	}
	if d.Software != "" {
		e = e.Str("software", string(d.Software))
	}
	if d.Fingerprint != "" {
		e = e.Str("fingerprint", d.Fingerprint)
	}
	if len(d.Alternatives) > 0 {
		e = e.Array("others", alternatives(d.Alternatives))
	}
	e.Msg("decision")
}

// alternatives are the candidates that were not chosen.
type alternatives []core.Candidate

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (c alternatives) MarshalZerologArray(a *zerolog.Array) {
	for _, candidate := range c {
		a.Dict(zerolog.Dict().Str("target", candidate.Target).Float64("score", candidate.Score))
	}
}
