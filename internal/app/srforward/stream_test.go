package srforward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srupstream"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

// slowClient takes some time for each write.
type slowClient struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

func (c slowClient) SetWriteDeadline(time.Time) error { return nil }

func (c slowClient) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.ResponseRecorder.Write(b)
}

// plainCodec passes headers on as they are.
type plainCodec struct{ sr.HeaderCodec }

func (plainCodec) ClientHeader(h http.Header) http.Header { return h }

// TestPaceIsThatOfTheEndpoint: an endpoint sends an event every 10 ms. A client that reads slowly
// does not make the endpoint look slow, and neither do events that the client already has.
func TestPaceIsThatOfTheEndpoint(t *testing.T) {
	for _, tt := range []struct {
		name  string
		delay time.Duration
		// had is the number of events that the client already has.
		had  int
		want time.Duration
	}{
		{"client reads at once", 0, 0, 10 * time.Millisecond},
		{"client reads slowly", 100 * time.Millisecond, 0, 0},
		{"answer repeats events", 0, 15, 10 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1, srforwardsettings.Settings{Memory: 184, Heartbeat: 1200 * time.Millisecond, ConfigTimeout: 3 * time.Second, Drain: 3 * time.Second})
				f.put(testRouting(1, 49))
				f.run(t)
				time.Sleep(time.Second)
				body, events := io.Pipe()
				go func() {
					for i := range 20 {
						_, _ = fmt.Fprintf(events, "id: %d\ndata: x\n\n", i+1)
						time.Sleep(10 * time.Millisecond)
					}
					_ = events.Close()
				}()
				q := &request{Instance: f.instances["10.0.0.0:1"], service: "s", start: time.Now(), ctx: t.Context(), w: slowClient{httptest.NewRecorder(), tt.delay}}
				q.r, q.Codec = httptest.NewRequest(http.MethodPost, "/", http.NoBody), plainCodec{}
				q.heldAnswer = srmemory.New(1 << 20).Hold()
				if tt.had > 0 {
					q.headerSent, q.eventsSent, q.lastEvent = true, tt.had, fmt.Sprint(tt.had)
				}
				a := &srupstream.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Framing: srupstream.FramingChunks, Length: -1, Body: body}
				got := q.handleStream(attempt{endpoint: "e", sent: time.Now(), silence: &srupstream.Silence{}}, a)
				assert.NilError(t, got.err)
				assert.Equal(t, strings.Count(q.w.(slowClient).Body.String(), "id: "), 20-tt.had)
				// The pace includes the time to the end of the answer.
				assert.Assert(t, got.result.Pace >= tt.want && got.result.Pace <= tt.want*11/10, "%v", got.result.Pace)
			})
		})
	}
}
