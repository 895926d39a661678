package srforward

import (
	"bytes"
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
				q, a := streamOf(t, f, slowClient{httptest.NewRecorder(), tt.delay}, body)
				if tt.had > 0 {
					q.headerSent, q.eventsSent, q.lastEvent = true, tt.had, fmt.Sprint(tt.had)
				}
				got := q.handleStream(attempt{endpoint: "e", sent: time.Now(), silence: &srupstream.Silence{}}, a)
				assert.NilError(t, got.err)
				assert.Equal(t, strings.Count(q.w.(slowClient).Body.String(), "id: "), 20-tt.had)
				// The pace includes the time to the end of the answer.
				assert.Assert(t, got.result.Pace >= tt.want && got.result.Pace <= tt.want*11/10, "%v", got.result.Pace)
			})
		})
	}
}

// goneClient fails each write.
type goneClient struct{ slowClient }

func (goneClient) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestClientThatLeavesAStreamIsCounted: a client that leaves during a stream is counted as one
// that leaves before.
func TestClientThatLeavesAStreamIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, srforwardsettings.Settings{Memory: 184, Heartbeat: 1200 * time.Millisecond, ConfigTimeout: 3 * time.Second, Drain: 3 * time.Second})
		f.put(testRouting(1, 49))
		f.run(t)
		time.Sleep(time.Second)
		q, a := streamOf(t, f, goneClient{slowClient{httptest.NewRecorder(), 0}}, io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")))
		q.route = sr.Route{Name: "r", Rank: 1, Kind: sr.RouteStream}
		got := q.handleStream(attempt{endpoint: "e", sent: time.Now(), silence: &srupstream.Silence{}}, a)
		assert.ErrorIs(t, got.err, io.ErrClosedPipe)
		var out bytes.Buffer
		q.stats.write(&out)
		assert.Assert(t, strings.Contains(out.String(), "rank.1.left 1\n"), out.String())
	})
}

// streamOf returns a request of a client, and an answer that is a stream.
func streamOf(t *testing.T, f *testFleet, client http.ResponseWriter, body io.ReadCloser) (*request, *srupstream.Answer) {
	q := &request{Instance: f.instances["10.0.0.0:1"], service: "s", start: time.Now(), ctx: t.Context(), w: client}
	q.r, q.Codec = httptest.NewRequest(http.MethodPost, "/", http.NoBody), plainCodec{}
	q.heldAnswer = srmemory.New(1 << 20).Hold()
	return q, &srupstream.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Framing: srupstream.FramingChunks, Length: -1, Body: body}
}
