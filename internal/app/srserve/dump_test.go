package srserve

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsettings"
)

// noPlatform is a platform whose configuration service does not answer before the
// context ends and whose instance list cannot be read.
type noPlatform struct{}

func (noPlatform) Read(ctx context.Context, _ string) (sr.Value, error) {
	<-ctx.Done()
	return sr.Value{}, ctx.Err()
}

func (noPlatform) Watch(ctx context.Context, _ string, _ uint64) (sr.Value, error) {
	<-ctx.Done()
	return sr.Value{}, ctx.Err()
}

func (noPlatform) Instances(context.Context) ([]sr.Instance, error) { return nil, sr.ErrUnreachable }

// An operator must be able to see in the dump and in the metrics why a published
// manifest did not come into force.
func TestRejectedManifestIsShownAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg, err := srsettings.Parse("test.ini", []byte("[instance]\nlisten = 127.0.0.1:8001\noperate = 127.0.0.1:8002\n"+
			"peer = 127.0.0.1:8003\ndomain = a\n[platform]\naddress = 127.0.0.1:9000\n"))
		assert.NilError(t, err)
		registry := metrics.NewRegistry()
		i, err := NewInstance(Deps{
			Settings: cfg,
			Self:     cfg.ID(1),
			Platform: noPlatform{},
			Random:   rand.NewChaCha8([32]byte{1}),
			Log:      logr.Discard(),
			Metrics:  registry,
		})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			i.Run(ctx)
			close(done)
		}()
		_, err = i.store.Offer(srmanifest.Bundle(1, map[string][]byte{"tiers": []byte("[tier dawn]\nrank = nonsense\n")}))
		assert.Assert(t, err != nil)
		time.Sleep(2 * rejectedInterval)
		d := i.dumpManifest()
		assert.Check(t, strings.Contains(d.Problem, "rank"), d.Problem)
		assert.Check(t, d.Reader.Calls > 0)
		assert.Equal(t, metrics.GetOrRegisterCounter("manifests.invalid", registry).Count(), int64(1))
		cancel()
		<-done
	})
}
