package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
)

// BenchmarkLimitSpread measures what limits cost 340 hosts that each of them learns of at once: the messages and bytes of all
// hosts in the first second, those of a host in a second after that, and the time until the last host knows.
func BenchmarkLimitSpread(b *testing.B) {
	const hosts = 340
	for _, limited := range []int{1, 280} {
		b.Run(fmt.Sprint(limited, " limited upstreams"), func(b *testing.B) {
			for n := range b.N {
				d := newDesk(uint64(n), hosts)
				list := core.UpstreamList{}
				for i := range limited {
					seen := serviceAnnouncement(core.UpstreamID(fmt.Sprintf("i-%010d", i)), 1766000000000)
					list.Seen = append(list.Seen, seen)
				}
				for _, h := range d.Hosts {
					d.Post(h, core.MessageReceived{From: "replica", Message: list})
				}
				bytes, messages := 0, 0
				d.OnSend = func(_ *harness.Host, m core.SendMessage) {
					if m.To == leavingEntryHost.Host {
						return
					}
					text, err := cbor.Marshal(m.Message)
					require.NoError(b, err)
					bytes += len(text)
					messages++
				}
				for i := range limited {
					d.Post(d.Hosts[d.Rand.IntN(hosts)], core.UpstreamStated{Pool: "desk", Statement: *core.NewUpstreamStatement(
						list.Seen[i].Announcement.ID, d.Now, core.StatementValues{RateLimit: []string{"1.5"}},
					)})
				}
				begin := d.Now
				for d.limited() < hosts && d.Now.Sub(begin) < 10*time.Second {
					d.RunFor(time.Millisecond)
				}
				b.ReportMetric(float64(d.Now.Sub(begin).Milliseconds()), "ms-to-last-host")
				d.RunFor(time.Second - d.Now.Sub(begin))
				b.ReportMetric(float64(messages)/hosts, "first-messages/host")
				b.ReportMetric(float64(bytes)/hosts, "first-bytes/host")
				bytes, messages = 0, 0
				d.RunFor(20 * time.Second)
				b.ReportMetric(float64(messages)/hosts/20, "messages/host/s")
				b.ReportMetric(float64(bytes)/hosts/20, "bytes/host/s")
			}
		})
	}
}
