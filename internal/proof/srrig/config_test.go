package srrig

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srconfig"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
)

// publish publishes the next version of the manifest, or fails the test.
func publish(t *testing.T, r *Rig) sr.Version {
	t.Helper()
	v, err := r.Publish()
	assert.NilError(t, err)
	return v
}

// assertInForce checks that a version is in force at every instance.
func assertInForce(t *testing.T, r *Rig, want sr.Version) {
	t.Helper()
	for i := range Instances {
		m, ok := r.Process(i).Instance.Current()
		assert.Check(t, ok && m.Version == want, "instance %d has version %d, expected %d", i, m.Version.Number, want.Number)
	}
}

func TestAcceptedManifestIsInForceEverywhereAndStays(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]func(t *testing.T, r *Rig) sr.Version{
		"changes in a row": func(t *testing.T, r *Rig) sr.Version {
			for range 5 {
				publish(t, r)
				time.Sleep(time.Duration(r.intN(500)) * time.Millisecond)
			}
			return publish(t, r)
		},
		"platform off and back": func(t *testing.T, r *Rig) sr.Version {
			r.Platform.SetStopped(true)
			time.Sleep(time.Minute)
			r.Platform.SetStopped(false)
			return publish(t, r)
		},
		"one instance gets updates": func(t *testing.T, r *Rig) sr.Version {
			cutPlatform(r, 0, 1, 2, 3, 4, 6)
			time.Sleep(time.Second)
			return publish(t, r)
		},
		"started during an outage": func(t *testing.T, r *Rig) sr.Version {
			v := publish(t, r)
			time.Sleep(time.Second)
			r.Platform.SetStopped(true)
			for _, i := range allInstances {
				r.Process(i).Kill()
				_, err := r.Start(i)
				assert.NilError(t, err)
				time.Sleep(5 * time.Second)
			}
			return v
		},
		"stale reads": func(t *testing.T, r *Rig) sr.Version {
			r.Platform.SetStale(true)
			r.Platform.SetStaleAt(0)
			time.Sleep(time.Second)
			r.Platform.SetStale(false)
			return publish(t, r)
		},
		"old version served again": func(t *testing.T, r *Rig) sr.Version {
			old := r.NextManifest()
			assert.NilError(t, r.PublishRaw(old))
			time.Sleep(time.Second)
			v := publish(t, r)
			time.Sleep(time.Second)
			assert.NilError(t, r.PublishRaw(old))
			time.Sleep(2 * time.Second)
			r.Process(3).Kill()
			_, err := r.Start(3)
			assert.NilError(t, err)
			return v
		},
		"same version with other content": func(t *testing.T, r *Rig) sr.Version {
			v := publish(t, r)
			time.Sleep(time.Second)
			r.manifest.out["brno-a"] = true
			assert.NilError(t, r.PublishRaw(srmanifest.Bundle(v.Number, r.manifest.parts())))
			return v
		},
		"invalid between two valid": func(t *testing.T, r *Rig) sr.Version {
			publish(t, r)
			bad := r.NextManifest()
			bad.Parts["tiers"] = []byte("[tier dawn]\nrank = none\n")
			assert.NilError(t, r.PublishRaw(srmanifest.Bundle(r.manifest.version, bad.Parts)))
			time.Sleep(time.Second)
			return publish(t, r)
		},
		"part missing until later": func(t *testing.T, r *Rig) sr.Version {
			text := r.NextManifest()
			text.Parts["extra"] = []byte("[domain ostrava-a]\nregion = cz-central\n")
			text = srmanifest.Bundle(r.manifest.version, text.Parts)
			extra := text.Parts["extra"]
			delete(text.Parts, "extra")
			assert.NilError(t, r.PublishRaw(text))
			time.Sleep(3 * time.Second)
			_, err := r.Platform.Set(rootKey+"/extra", extra)
			assert.NilError(t, err)
			root, err := srmanifest.ParseRoot(text.Root)
			assert.NilError(t, err)
			return root.Version
		},
		"part too large between two valid": func(t *testing.T, r *Rig) sr.Version {
			publish(t, r)
			text := r.NextManifest()
			text.Parts["extra"] = []byte(strings.Repeat("# filler\n", srconfig.MaxValue/8))
			text = srmanifest.Bundle(r.manifest.version, text.Parts)
			delete(text.Parts, "extra")
			assert.NilError(t, r.PublishRaw(text))
			time.Sleep(time.Second)
			return publish(t, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The seed is the length of the name.
			runRig(t, Options{Seed: uint64(len(name))}, func(t *testing.T, r *Rig) {
				want := f(t, r)
				time.Sleep(srhistory.ManifestBound)
				assertInForce(t, r, want)
			}, srhistory.ManifestInForce)
		})
	}
}

func TestManifestsUnderCutsAndKills(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		runRig(t, Options{Seed: seed}, func(t *testing.T, r *Rig) {
			var v sr.Version
			for n := range 6 {
				i := r.intN(Instances)
				cutPlatform(r, i, (i+n)%Instances)
				r.Process(i).Kill()
				v = publish(t, r)
				_, err := r.Start(i)
				assert.NilError(t, err)
				time.Sleep(time.Duration(r.intN(4000)) * time.Millisecond)
				r.Heal()
			}
			time.Sleep(srhistory.ManifestBound)
			assertInForce(t, r, v)
		}, srhistory.ManifestInForce)
	})
}
