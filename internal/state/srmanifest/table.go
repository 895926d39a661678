package srmanifest

import (
	"math"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// Limits of the manifest.
const (
	// MaxTiers is the maximum number of tiers.
	MaxTiers = 16
	// MaxParts is the maximum number of parts.
	MaxParts = 256

	maxKeys       = 16 // keys of a workspace
	maxOperations = 64 // repeatable operations of a service
	maxTarget     = time.Hour
	maxBudget     = 24 * time.Hour
	maxRate       = 1e6 // requests a second
	maxTokenRate  = 1e9 // tokens a second
	maxSettle     = 10 * time.Minute
	maxSlots      = 4096
	maxCount      = math.MaxInt32
)

// Kinds of section.
const (
	kindManifest  = "manifest"
	kindParts     = "parts"
	kindTier      = "tier"
	kindWorkspace = "workspace"
	kindDomain    = "domain"
	kindClass     = "class"
	kindEndpoint  = "endpoint"
	kindService   = "service"
)

func rootKeys(version *uint64) []srini.Key {
	return []srini.Key{
		{Section: kindManifest, Name: "version", Value: srini.Uint(version, 1), Required: true, Description: "must be greater than the version in force"},
	}
}

func partKey(name string, digest *string) srini.Key {
	return srini.Key{Section: kindParts, Name: name, Value: srini.Digest(digest), Required: true, Description: "hash of the part's text"}
}

func tierKeys(t *sr.TierSpec, rank *int) []srini.Key {
	return []srini.Key{
		{Section: kindTier, Name: "rank", Value: srini.Int(rank, "", 1, MaxTiers), Required: true, Description: "1 is the most important; ranks have no gaps"},
		{Section: kindTier, Name: "first", Value: srini.Duration(&t.First, time.Millisecond, maxTarget), Required: true, Description: "target time to the first token"},
		{Section: kindTier, Name: "gap", Value: srini.Duration(&t.Gap, time.Millisecond, maxTarget), Required: true, Description: "target time between tokens"},
		{Section: kindTier, Name: "budget", Value: srini.Duration(&t.Budget, time.Millisecond, maxBudget), Required: true, Description: "default deadline of a request after its arrival; at least first"},
	}
}

func workspaceKeys(w *sr.Workspace) []srini.Key {
	return []srini.Key{
		{Section: kindWorkspace, Name: "tier", Value: srini.Word(&w.Tier), Required: true, Description: "most important tier that the workspace may use, and its default"},
		{Section: kindWorkspace, Name: "keys", Value: srini.Digests(&w.Keys, maxKeys), Required: true, Description: "hashes of the keys that its callers present; unique over all workspaces"},
		{Section: kindWorkspace, Name: "share", Value: srini.Float(&w.Share, "", 0.001, 1e6), Default: "1", Description: "weight when capacity is divided among workspaces"},
		{Section: kindWorkspace, Name: "rate", Value: srini.Float(&w.Rate, "requests a second", 0, maxRate), Default: "0", Description: "maximum rate over all instances, 0 for no limit"},
		{Section: kindWorkspace, Name: "burst", Value: srini.Int(&w.Burst, "requests", 0, maxCount), Default: "0", Description: "requests that may arrive at once above rate; at least 1 with a rate"},
		{Section: kindWorkspace, Name: "queue", Value: srini.Int(&w.Queue, "requests", 1, maxCount), Default: "100", Description: "maximum number of requests that wait at one instance"},
		{Section: kindWorkspace, Name: "ticketed", Value: srini.Bool(&w.Ticketed), Default: "no", Description: "issue a ticket to model requests that arrive without one"},
	}
}

func domainKeys(d *sr.Domain) []srini.Key {
	return []srini.Key{
		{Section: kindDomain, Name: "region", Value: srini.Word(&d.Region), Required: true, Description: "region of the failure domain"},
		{Section: kindDomain, Name: "out", Value: srini.Bool(&d.Out), Default: "no", Description: "its endpoints receive no new requests"},
	}
}

func classKeys(c *sr.Class) []srini.Key {
	return []srini.Key{
		{Section: kindClass, Name: "prefill", Value: srini.Float(&c.Prefill, "tokens a second per endpoint", 0, maxTokenRate), Default: "0", Description: "initial estimate of the prompt rate; above 0 for a class that serves models"},
		{Section: kindClass, Name: "decode", Value: srini.Float(&c.Decode, "tokens a second per stream", 0, maxTokenRate), Default: "0", Description: "initial estimate of the answer rate; above 0 for a class that serves models"},
		{Section: kindClass, Name: "slots", Value: srini.Int(&c.Slots, "requests", 1, maxSlots), Required: true, Description: "requests that an endpoint runs concurrently"},
		{Section: kindClass, Name: "cold", Value: srini.Int(&c.Cold, "requests", 1, maxSlots), Default: "1", Description: "requests that a cold endpoint runs concurrently; at most slots"},
		{Section: kindClass, Name: "warm", Value: srini.Int(&c.Warm, "requests", 0, maxCount), Default: "0", Description: "requests that a cold endpoint completes before it runs more than cold"},
		{Section: kindClass, Name: "settle", Value: srini.Duration(&c.Settle, 0, maxSettle), Default: "0s", Description: "time from the first completed request until a cold endpoint runs more than cold"},
		{Section: kindClass, Name: "cache", Value: srini.Int(&c.Cache, "blocks", 0, maxCount), Default: "0", Description: "capacity of the prefix cache"},
	}
}

func endpointKeys(e *sr.Endpoint, model, service *string) []srini.Key {
	return []srini.Key{
		{Section: kindEndpoint, Name: "address", Value: srini.Address(&e.Address), Required: true, Description: "address on which it listens; unique over all endpoints"},
		{Section: kindEndpoint, Name: "domain", Value: srini.Word(&e.Domain), Required: true, Description: "its failure domain"},
		{Section: kindEndpoint, Name: "class", Value: srini.Word(&e.Class), Required: true, Description: "its hardware generation"},
		{Section: kindEndpoint, Name: "model", Value: srini.Word(model), Description: "model that it serves; either model or service is set"},
		{Section: kindEndpoint, Name: "service", Value: srini.Word(service), Description: "service that it serves; either model or service is set"},
		{Section: kindEndpoint, Name: "leaving", Value: srini.Bool(&e.Leaving), Default: "no", Description: "it receives no new requests"},
		{Section: kindEndpoint, Name: "fenced", Value: srini.Bool(&e.Fenced), Default: "no", Description: "it refuses requests with an outdated fencing token"},
	}
}

func serviceKeys(s *sr.ServiceSpec) []srini.Key {
	return []srini.Key{
		{Section: kindService, Name: "repeatable", Value: srini.Words(&s.Repeatable, maxOperations), Description: "idempotent operations, which may be retried"},
	}
}
