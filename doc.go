// Package sassafrasrail holds the interfaces and the shared value types of the
// request scheduler. Implementations are in internal/ and platform/.
//
// # Usage
//
// An entry instance is assembled from the interfaces of this package:
//
//	Engine    model engines, called over HTTP by internal/peer/srendpoint
//	Service   plain services, called over HTTP by internal/peer/srservice
//	Platform  configuration service and instance list, read by internal/peer/srplatform
//	Peers     the other entry instances, called over net/rpc by internal/peer/srinstance
//
// A forwarding instance, which proxies HTTP requests to endpoints, uses these:
//
//	HeaderCodec   headers of the platform, read and written by platform
//	Registry      configuration and registrations of endpoints, read by platform
//	FleetHandler  the other forwarding instances, called over net/rpc by internal/peer/srinstance
//
// Deadlines, ages and expiries cross process boundaries as durations, because the
// clocks of different machines may differ. The few points in time that do cross
// them, such as Step.At, are only displayed or compared with times of the same clock.
package sassafrasrail
