package srinstance

import (
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// fleetHandler answers each call. Listings have a number of entries; running counts the calls that
// are handled.
type fleetHandler struct {
	entries          int
	running, highest atomic.Int64
}

func (h *fleetHandler) Gossip(_ context.Context, g sr.Gossip) (sr.Gossip, error) {
	h.highest.Store(max(h.highest.Load(), h.running.Add(1)))
	time.Sleep(time.Millisecond)
	h.running.Add(-1)
	return g, nil
}

func (h *fleetHandler) Exchange(ctx context.Context, g sr.Gossip) (sr.Gossip, error) {
	return h.Gossip(ctx, g)
}

func (h *fleetHandler) list() (sr.Changes, error) {
	c := sr.Changes{AsOf: 1 << 40}
	for range h.entries {
		id := fmt.Sprintf("i-%08x", len(c.Facts))
		c.Facts = append(c.Facts, sr.RegistryEntry{Kind: sr.EntryEndpoint, Name: id, Revision: 1 << 40, Endpoint: sr.LiveEndpoint{
			ID: id, Service: "service-17", Address: "10.100.200.1:65535", Domain: "praha-a", Slots: 17, State: sr.EndpointReady, Born: 1_700_000_000_000, Sequence: 1 << 20,
		}})
	}
	return c, nil
}

func (h *fleetHandler) Pull(context.Context, uint64) (sr.Changes, error)    { return h.list() }
func (h *fleetHandler) Entries(context.Context, uint64) (sr.Changes, error) { return h.list() }
func (h *fleetHandler) EntriesSince(context.Context, sr.Position) (sr.Changes, error) {
	return h.list()
}

func (h *fleetHandler) RoutingPart(_ context.Context, r sr.RoutingRequest) (sr.RoutingPart, error) {
	return sr.RoutingPart{Revision: r.Revision, Data: []byte("part")}, nil
}

func (h *fleetHandler) ReportSlots(context.Context, sr.SlotReport) (sr.SlotReply, error) {
	return sr.SlotReply{}, nil
}

func (h *fleetHandler) DeliverSlots(context.Context, sr.SlotGrants) error { return nil }

// reports collects the reported limits.
type reports struct {
	mu   sync.Mutex
	errs []error
}

func (r *reports) add(_ string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *reports) all() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.errs
}

func serveFleet(t *testing.T, h sr.FleetHandler, l Limits) (address string) {
	s, err := NewFleetServer(t.Context(), h, l)
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() {
		ln.Close()
		s.Close()
	})
	return ln.Addr().String()
}

func dialFleet(t *testing.T, address string, l Limits) sr.FleetHandler {
	f := NewFleet(new(net.Dialer).DialContext, time.Second, l)
	t.Cleanup(f.Close)
	return f.FleetPeer(address)
}

// fullGossip is the gossip of an instance in a fleet of 1,000 with 12,000 endpoints.
func fullGossip() sr.Gossip {
	name := func(i int) string { return "10.100.200.1:7600-" + strings.Repeat("x", i%7) + string(rune('a'+i%26)) }
	g := sr.Gossip{From: sr.InstanceID{Address: "a", Incarnation: 1 << 62}, Usage: sr.Usage{Running: make(map[string]int), Pending: make(map[string]int)}}
	for i := range 12_000 {
		if i < 1000 {
			g.Known = append(g.Known, sr.InstanceID{Address: name(i), Incarnation: 1 << 62})
		}
		id := "i-" + string([]byte{byte('a' + i%26), byte('a' + i/26%26), byte('a' + i/676%26)}) + "7f3a9"
		g.Usage.Running[id], g.Usage.Pending[id] = 8, 100_000
	}
	return g
}

// All calls of a large fleet, with the definitions of their types, are within the limits of the
// smallest machine.
func TestCallsOfALargeFleetAreWithinTheLimits(t *testing.T) {
	var r reports
	l := FleetLimits(112, r.add)
	peer := dialFleet(t, serveFleet(t, &fleetHandler{entries: 12_000}, l), l)
	// With the race detector on one CPU a listing takes longer than a call without a deadline may.
	ctx, cancel := context.WithTimeout(t.Context(), 4*maxCallDuration)
	defer cancel()
	for range 2 {
		g, err := peer.Gossip(ctx, fullGossip())
		assert.NilError(t, err)
		assert.Equal(t, len(g.Usage.Running), 12_000)
		for _, list := range []func() (sr.Changes, error){
			func() (sr.Changes, error) { return peer.Pull(ctx, 1) },
			func() (sr.Changes, error) { return peer.Entries(ctx, 1) },
			func() (sr.Changes, error) { return peer.EntriesSince(ctx, sr.Position{}) },
		} {
			c, err := list()
			assert.NilError(t, err)
			assert.Equal(t, len(c.Facts), 12_000)
		}
		_, err = peer.RoutingPart(ctx, sr.RoutingRequest{Revision: 7})
		assert.NilError(t, err)
	}
	assert.Equal(t, len(r.all()), 0, "%v", r.all())
}

// A peer whose reply does not end is unreachable, its connection is closed, and the limit is reported.
func TestReplyWithoutEndIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		call  func(p sr.FleetHandler, ctx context.Context) error
	}{
		"gossip": {"\xfc\x3f\xff\xff\xff", func(p sr.FleetHandler, ctx context.Context) error {
			_, err := p.Gossip(ctx, sr.Gossip{})
			return err
		}},
		"entries": {"\xfc\x3f\xff\xff\xff", func(p sr.FleetHandler, ctx context.Context) error {
			_, err := p.EntriesSince(ctx, sr.Position{})
			return err
		}},
		"part of a configuration": {"\xfc\x3f\xff\xff\xff", func(p sr.FleetHandler, ctx context.Context) error {
			_, err := p.RoutingPart(ctx, sr.RoutingRequest{})
			return err
		}},
		"bytes that are no reply": {"HTTP/1.1 200 OK\r\n", func(p sr.FleetHandler, ctx context.Context) error {
			_, err := p.Gossip(ctx, sr.Gossip{})
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			sent := make(chan int64)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.ReadFull(conn, make([]byte, 1))
				n, _ := io.Copy(conn, io.MultiReader(strings.NewReader(c.reply), endless{}))
				sent <- n
			}()
			var r reports
			err = c.call(dialFleet(t, ln.Addr().String(), FleetLimits(112, r.add)), t.Context())
			assert.Assert(t, errors.Is(err, sr.ErrUnreachable), "%v", err)
			// The rest of what was sent is in the buffers of the sockets.
			const buffers = 16 << 20
			n := <-sent
			assert.Assert(t, n < buffers, "%d bytes sent", n)
			assert.Equal(t, len(r.all()), 1, "%v", r.all())
		})
	}
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// A peer that sends calls and reads no answers has one call handled at a time, and the others are
// still answered.
func TestCallsThatAreNotReadAreHandledOneAtATime(t *testing.T) {
	h := &fleetHandler{entries: longListing}
	l := FleetLimits(112, nil)
	address := serveFleet(t, h, l)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	enc := gob.NewEncoder(conn)
	for range 200 {
		assert.NilError(t, enc.Encode(rpc.Request{ServiceMethod: serviceName + "." + gossipMethod}))
		assert.NilError(t, enc.Encode(Args[sr.Gossip]{Wait: time.Second}))
	}
	for h.highest.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	peer := dialFleet(t, address, l)
	_, err = peer.EntriesSince(t.Context(), sr.Position{})
	assert.NilError(t, err)
	assert.Equal(t, h.highest.Load(), int64(1))
}

// Long listings beyond maxListings at once are refused, short ones are not. The places of those
// that have been sent are free again.
func TestLongListingsAreSentAFewAtATime(t *testing.T) {
	m := &fleetMethods{ctx: t.Context(), handler: &fleetHandler{entries: longListing}, listings: make(chan struct{}, maxListings)}
	var replies []*Reply[sr.Changes]
	list := func() (sr.Changes, error) {
		var r Reply[sr.Changes]
		assert.NilError(t, m.EntriesSince(Args[sr.Position]{Wait: time.Second}, &r))
		replies = append(replies, &r)
		return r.Value, r.Fault.Err()
	}
	for range maxListings {
		_, err := list()
		assert.NilError(t, err)
	}
	c, err := list()
	assert.ErrorIs(t, err, sr.ErrOverloaded)
	assert.Equal(t, len(c.Facts), 0)
	replies[0].release()
	_, err = list()
	assert.NilError(t, err)
	m.handler = &fleetHandler{entries: longListing - 1}
	_, err = list()
	assert.NilError(t, err)
}

// Connections beyond the limit close those without a call. When all have had one, they are closed
// themselves.
func TestConnectionsAreLimited(t *testing.T) {
	var r reports
	l := FleetLimits(112, r.add)
	l.Conns = 2
	address := serveFleet(t, &fleetHandler{}, l)
	idle, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer idle.Close()
	for range 2 {
		_, err := dialFleet(t, address, l).Gossip(t.Context(), sr.Gossip{})
		assert.NilError(t, err)
	}
	_, err = idle.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = dialFleet(t, address, l).Gossip(t.Context(), sr.Gossip{})
	assert.Assert(t, errors.Is(err, sr.ErrUnreachable))
	assert.DeepEqual(t, len(r.all()), 1)
	assert.ErrorIs(t, r.all()[0], errTooManyConns)
}

// A reply has arrived when the time of its caller is over. It counts.
func TestArrivedReplyCountsAfterTheDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		done := make(chan *rpc.Call, 1)
		done <- &rpc.Call{}
		_, ok := await(ctx, done)
		assert.Assert(t, ok)
	}
	_, ok := await(ctx, make(chan *rpc.Call))
	assert.Assert(t, !ok)
}
