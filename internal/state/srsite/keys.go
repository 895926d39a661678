package srsite

import (
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

const (
	maxSeeds  = 16
	maxMemory = 1 << 20
	maxCount  = 1 << 20
	maxBound  = 10 * time.Minute
)

// keys lists every key with the field it fills.
func keys(s *Settings) []srini.Key {
	return []srini.Key{
		{Section: "instance", Name: "name", Value: srini.Word(&s.Name), Required: true, About: "name of the instance in logs"},
		{Section: "instance", Name: "domain", Value: srini.Word(&s.Domain), Required: true, About: "failure domain"},
		{Section: "instance", Name: "clients", Value: srini.ListenAddress(&s.Clients), Required: true, About: "where clients connect"},
		{Section: "instance", Name: "ready", Value: srini.ListenAddress(&s.Ready), Required: true, About: "where the balancer asks for readiness"},
		{Section: "instance", Name: "peers", Value: srini.Address(&s.Peers), Required: true, About: "where the other instances call"},
		{Section: "instance", Name: "operate", Value: srini.ListenAddress(&s.Operate), Required: true, About: "where dump and metrics are served"},
		{Section: "instance", Name: "seeds", Value: srini.Addresses(&s.Seeds, maxSeeds), About: "peer addresses of a few instances"},

		{Section: "machine", Name: "memory", Value: srini.Int(&s.Memory, "MB", 16, maxMemory), Default: "256", About: "memory of the process"},

		{Section: "registry", Name: "address", Value: srini.Address(&s.Registry), Required: true, About: "the platform's store"},
		{Section: "registry", Name: "heartbeat", Value: srini.Duration(&s.Heartbeat, 0, maxBound), Default: "1200ms", About: "time between two reports of an endpoint"},

		{Section: "bounds", Name: "revoke", Value: srini.Duration(&s.Revoke, 0, maxBound), About: "after it a removed key is not served; not given when keys need no proof"},
		{Section: "bounds", Name: "config", Value: srini.Duration(&s.Config, 0, maxBound), Default: "2s", About: "a configuration is in force within it"},
		{Section: "bounds", Name: "drain", Value: srini.Duration(&s.Drain, 0, maxBound), Default: "2s", About: "a leaving endpoint gets nothing new after it"},
		{Section: "bounds", Name: "grace", Value: srini.Duration(&s.Grace, 0, maxBound), Default: "8s", About: "time between the stop signal and the end"},

		{Section: "retry", Name: "ratio", Value: srini.Float(&s.Retry.Ratio, "", 0, 10), Default: "0.2", About: "retries for each request, over all instances"},
		{Section: "retry", Name: "window", Value: srini.Duration(&s.Retry.Window, time.Second, maxBound), Default: "10s", About: "window in which retries are counted"},
		{Section: "retry", Name: "slack", Value: srini.Float(&s.Retry.Slack, "", 0, maxCount), Default: "0", About: "retries beyond the ratio in a window"},

		{Section: "allowance", Name: "window", Value: srini.Duration(&s.Allowance, 0, maxBound), About: "window in which a workspace's allowance is counted"},
	}
}
