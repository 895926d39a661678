package sassafrasrail

import "context"

// Value is one value of the configuration service.
type Value struct {
	// Revision grows with each change of the value.
	Revision uint64
	Data     []byte
}

// Instance is one entry of the platform's instance list, which may be out of date.
type Instance struct {
	Address string
	Domain  string
	Leaving bool
}

// Platform is the read-only client of the configuration service and the
// instance list.
type Platform interface {
	// Read returns the current value of key, or ErrMissing when there is none.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the revision of key is above after and returns the value.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
	// Instances returns the list of the entry instances.
	Instances(ctx context.Context) ([]Instance, error)
}
