package srserve

import (
	"context"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
)

type tmpReader struct {
	p    sr.Platform
	s    *srmanifest.Store
	root string
}

func (r tmpReader) Run(ctx context.Context) {
	var rev uint64
	for ctx.Err() == nil {
		v, err := r.p.Watch(ctx, r.root, rev)
		if err != nil {
			pause(ctx, 500*time.Millisecond)
			continue
		}
		rev = v.Revision
		root, err := srmanifest.ParseRoot(v.Data)
		if err != nil {
			continue
		}
		t := sr.ManifestText{Root: v.Data, Parts: map[string][]byte{}}
		for name := range root.Parts {
			pv, err := r.p.Read(ctx, r.root+"/"+name)
			if err == nil {
				t.Parts[name] = pv.Data
			}
		}
		if _, err := r.s.Offer(t); err != nil {
			println(err.Error())
		}
	}
}

func (r tmpReader) Fetch(ctx context.Context, h sr.Handler, v sr.Version) error {
	t, err := h.Manifest(ctx, v)
	if err == nil {
		_, err = r.s.Offer(t)
	}
	return err
}
