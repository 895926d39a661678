package sassafrasrail

import "context"

// Value is one value of the configuration service.
type Value struct {
	// Revision grows with each change of the value.
	Revision uint64
	Data     []byte
}

// Instance is one entry of the platform's lagging instance list.
type Instance struct {
	Address string
	Domain  string
	Leaving bool
}

// Platform reads what the platform publishes. It never writes.
type Platform interface {
	// Read returns the present value of key. ErrMissing when there is none.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns the value of key once its revision is above after.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
	// Instances returns the published entry instances.
	Instances(ctx context.Context) ([]Instance, error)
}
