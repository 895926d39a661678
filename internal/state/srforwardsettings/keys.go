package srforwardsettings

import (
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

const (
	maxSeeds  = 16
	maxMemory = 1 << 20 // MB
	maxCores  = 1 << 10
	maxCount  = 1 << 20
	maxBound  = 10 * time.Minute
)

// keys returns the descriptions of all keys, each bound to its field of s.
func keys(s *Settings) []srini.Key {
	return []srini.Key{
		{Section: "instance", Name: "name", Value: srini.Word(&s.Name), Required: true, Description: "name of the instance in logs"},
		{Section: "instance", Name: "domain", Value: srini.Word(&s.Domain), Required: true, Description: "failure domain"},
		{Section: "instance", Name: "clients", Value: srini.ListenAddress(&s.Clients), Required: true, Description: "address for clients"},
		{Section: "instance", Name: "ready", Value: srini.ListenAddress(&s.Ready), Required: true, Description: "address for the load balancer's readiness checks"},
		{Section: "instance", Name: "peers", Value: srini.Address(&s.Peers), Required: true, Description: "address for other instances"},
		{Section: "instance", Name: "operate", Value: srini.ListenAddress(&s.Operate), Required: true, Description: "address of the dump and the metrics"},
		{Section: "instance", Name: "seeds", Value: srini.Addresses(&s.Seeds, maxSeeds), Description: "peer addresses of some other instances"},

		{Section: "machine", Name: "memory", Value: srini.Int(&s.Memory, "MB", 16, maxMemory), Default: "256", Description: "memory limit of the process"},
		{Section: "machine", Name: "power", Value: srini.Float(&s.Power, "cores", 0, maxCores), Default: "0", Description: "share of a processor core that the process may use, 0 when unknown"},

		{Section: "registry", Name: "address", Value: srini.Address(&s.Registry), Required: true, Description: "address of the platform's registry"},
		{Section: "registry", Name: "heartbeat", Value: srini.Duration(&s.Heartbeat, 0, maxBound), Default: "1200ms", Description: "time between two renewals of an endpoint's registration"},

		{Section: "bounds", Name: "revoke", Value: srini.Duration(&s.RevokeTimeout, 0, maxBound), Description: "time after which a removed key must not be accepted; unset to accept keys regardless of the age of the configuration"},
		{Section: "bounds", Name: "config", Value: srini.Duration(&s.ConfigTimeout, 0, maxBound), Default: "2s", Description: "time within which a new configuration is in force"},
		{Section: "bounds", Name: "drain", Value: srini.Duration(&s.Drain, 0, maxBound), Default: "2s", Description: "time after which a leaving endpoint receives no new requests"},
		{Section: "bounds", Name: "grace", Value: srini.Duration(&s.Grace, 0, maxBound), Default: "8s", Description: "time between the stop signal and the end of the process"},

		{Section: "retry", Name: "ratio", Value: srini.Float(&s.Retry.Ratio, "", 0, 10), Default: "0.2", Description: "retries per request, over all instances"},
		{Section: "retry", Name: "window", Value: srini.Duration(&s.Retry.Window, time.Second, maxBound), Default: "10s", Description: "window in which retries are counted"},
		{Section: "retry", Name: "slack", Value: srini.Float(&s.Retry.Slack, "", 0, maxCount), Default: "0", Description: "additional retries in a window"},

		{Section: "allowance", Name: "window", Value: srini.Duration(&s.QuotaWindow, 0, maxBound), Description: "window in which a workspace's quota is counted"},
	}
}
