package srcapacity

import (
	"encoding/gob"
	"net/rpc"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srinstance"
)

// wire counts the bytes of calls on a long-lived net/rpc connection, whose
// types have been described before.
type wire struct {
	encoder *gob.Encoder
	bytes   int
}

// Write counts bytes.
func (w *wire) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

func newWire() *wire {
	w := &wire{}
	w.encoder = gob.NewEncoder(w)
	return w
}

// sizeOf returns the bytes of a call and its answer once the types are known.
func sizeOf[A, R any](method string, args A, reply R) int {
	w := newWire()
	w.exchange(method, srinstance.Args[A]{Value: args}, srinstance.Reply[R]{Value: reply})
	first := w.bytes
	w.exchange(method, srinstance.Args[A]{Value: args}, srinstance.Reply[R]{Value: reply})
	return w.bytes - first
}

func (w *wire) exchange(method string, args, reply any) {
	for _, v := range []any{
		rpc.Request{ServiceMethod: method, Seq: 1},
		args,
		rpc.Response{ServiceMethod: method, Seq: 1},
		reply,
	} {
		if err := w.encoder.Encode(v); err != nil {
			panic("srcapacity: encode " + method + ": " + err.Error())
		}
	}
}

// requestBytes is the control traffic of one request with a prompt of n
// prefix blocks: ask, grant, confirmation and release with their answers.
func requestBytes(blocks int) int {
	ask := exampleAsk(blocks)
	grant := sr.Grant{Lease: sr.Lease{
		ID: 1 << 62, Pool: ask.Pool, Owner: instance(2), Endpoint: "runner0123", Address: "10.0.12.34:8000",
		TTL: lease, Waited: lease / 10, Cached: 512, Confirm: true, Why: "512 tokens cached, 3 running, first token in 0.105 s, end in 2.8 s, best of 12",
	}}
	release := sr.Release{Lease: 1 << 62, Pool: ask.Pool, Holder: ask.Holder, Result: sr.ReleaseDone, First: lease / 4, Total: 3 * lease, Tokens: 200}
	taken := sr.Release{Lease: 1 << 62, Pool: ask.Pool, Holder: ask.Holder, Result: sr.ReleaseTaken, Start: "3w5e11264sgsf"}
	return sizeOf("Instance.Acquire", ask, grant) +
		sizeOf("Instance.Release", taken, srinstance.None{}) +
		sizeOf("Instance.Release", release, srinstance.None{})
}

func exampleAsk(blocks int) sr.Ask {
	a := sr.Ask{
		ID:          "3w5e11264sgsf.1000.1.1",
		Holder:      instance(1),
		Pool:        pool(0),
		Tier:        1,
		Workspace:   "workspace-12345",
		Share:       1,
		Work:        sr.Work{Prefill: 64 * blocks, Decode: 256},
		Cancellable: true,
		Budget:      lease * 30,
		First:       lease / 2,
	}
	for i := range blocks {
		a.Blocks = append(a.Blocks, 1<<63+uint64(i)*0x9e3779b97f4a7c15)
	}
	return a
}
