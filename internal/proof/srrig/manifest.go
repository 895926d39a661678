package srrig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/proof/srhistory"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
)

const (
	// Model is the model that the engines serve.
	Model = "intake-assistant"
	// Service is the plain service.
	Service = "intake"
	// Book is an operation of Service that may not be repeated.
	Book = "book"
	// engineCount is the number of model engines.
	engineCount = 8
	// rootKey is the key of the manifest's root in the configuration service.
	rootKey = "manifest"
)

// tiers are the names of the tiers by rank, from 1. Each tier has one workspace,
// which has the same name.
var tiers = []string{"", "dawn", "shift", "batch"}

var domains = []string{"brno-a", "brno-b", "praha-a", "praha-b"}

// manifest is the content of the manifest that operators publish.
type manifest struct {
	version          uint64
	opts             Options
	modelEndpoints   []sr.Endpoint
	serviceEndpoints []sr.Endpoint
	out              map[string]bool
	leaving          map[string]bool
}

func newManifest(opts Options) manifest {
	m := manifest{opts: opts, out: make(map[string]bool), leaving: make(map[string]bool)}
	for i, d := range domains {
		for n := i + 1; n <= engineCount; n += len(domains) {
			m.modelEndpoints = append(m.modelEndpoints, sr.Endpoint{Name: fmt.Sprintf("runner%d", n), Address: fmt.Sprintf("10.1.0.%d:80", n), Domain: d})
		}
		m.serviceEndpoints = append(m.serviceEndpoints, sr.Endpoint{Name: fmt.Sprintf("booking%d", i+1), Address: fmt.Sprintf("10.2.0.%d:80", i+1), Domain: d})
	}
	return m
}

// Key returns the API key of a workspace.
func Key(workspace string) string { return "key of " + workspace }

// endpoint returns the endpoint with an address. For an unknown address it returns
// one that is named after it.
func (r *Rig) endpoint(address string) sr.Endpoint {
	// The limited capacity makes append copy the list.
	for _, e := range append(r.manifest.modelEndpoints[:len(r.manifest.modelEndpoints):len(r.manifest.modelEndpoints)], r.manifest.serviceEndpoints...) {
		if e.Address == address {
			return e
		}
	}
	return sr.Endpoint{Name: address}
}

// NextManifest returns the manifest with the next version number.
func (r *Rig) NextManifest() sr.ManifestText {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.manifest.version++
	return srmanifest.Bundle(r.manifest.version, r.manifest.parts())
}

// Publish publishes the next version of the manifest.
func (r *Rig) Publish() (sr.Version, error) {
	t := r.NextManifest()
	root, err := srmanifest.ParseRoot(t.Root)
	if err != nil {
		return sr.Version{}, err
	}
	if err := r.PublishRaw(t); err != nil {
		return sr.Version{}, err
	}
	r.History.AddPublished(srhistory.Published{At: r.Now(), Version: root.Version})
	return root.Version, nil
}

// PublishRaw publishes a manifest without recording it in the history. The parts
// come first, so that they exist when the root refers to them.
func (r *Rig) PublishRaw(t sr.ManifestText) error {
	for name, data := range t.Parts {
		if _, err := r.Platform.Set(rootKey+"/"+name, data); err != nil {
			return errors.Wrap(err, "srrig")
		}
	}
	_, err := r.Platform.Set(rootKey, t.Root)
	return errors.Wrap(err, "srrig")
}

// SetDomainOut publishes and records an order that takes a failure domain out of
// service, or one that takes it back in.
func (r *Rig) SetDomainOut(domain string, out bool) error {
	r.mu.Lock()
	r.manifest.out[domain] = out
	r.mu.Unlock()
	r.History.AddOrder(srhistory.Order{At: r.Now(), Domain: domain, Out: out})
	_, err := r.Publish()
	return err
}

// SetEndpointLeaving publishes and records an order that takes an endpoint out of
// service, or one that takes it back in.
func (r *Rig) SetEndpointLeaving(endpoint string, leaving bool) error {
	r.mu.Lock()
	r.manifest.leaving[endpoint] = leaving
	r.mu.Unlock()
	r.History.AddOrder(srhistory.Order{At: r.Now(), Endpoint: endpoint, Out: leaving})
	_, err := r.Publish()
	return err
}

func (m manifest) parts() map[string][]byte {
	return map[string][]byte{
		"tiers":      []byte(tierPart()),
		"workspaces": []byte(workspacePart()),
		"domains":    []byte(m.domainPart()),
		"classes":    []byte(m.classPart()),
		"endpoints":  []byte(m.endpointPart()),
	}
}

func tierPart() string {
	var b strings.Builder
	for rank, name := range tiers[1:] {
		fmt.Fprintf(&b, "[tier %s]\nrank = %d\nfirst = 1s\ngap = 100ms\nbudget = 30s\n", name, rank+1)
	}
	return b.String()
}

func workspacePart() string {
	var b strings.Builder
	for _, name := range tiers[1:] {
		sum := sha256.Sum256([]byte(Key(name)))
		fmt.Fprintf(&b, "[workspace %s]\ntier = %s\nkeys = %s\n", name, name, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

func (m manifest) domainPart() string {
	var b strings.Builder
	for _, d := range domains {
		fmt.Fprintf(&b, "[domain %s]\nregion = cz-central\nout = %s\n", d, yesNo(m.out[d]))
	}
	return b.String()
}

func (m manifest) classPart() string {
	return fmt.Sprintf("[class gen1]\nprefill = 8000\ndecode = 50\nslots = %d\ncold = %d\nwarm = %d\nsettle = %s\ncache = 4096\n[class desk]\nslots = 8\n",
		m.opts.Slots, m.opts.Cold, m.opts.Engine.WarmRequests, m.opts.Engine.WarmTime)
}

func (m manifest) endpointPart() string {
	var b strings.Builder
	for _, e := range m.modelEndpoints {
		fmt.Fprintf(&b, "[endpoint %s]\naddress = %s\ndomain = %s\nclass = gen1\nmodel = %s\nleaving = %s\n", e.Name, e.Address, e.Domain, Model, yesNo(m.leaving[e.Name]))
	}
	for _, e := range m.serviceEndpoints {
		fmt.Fprintf(&b, "[endpoint %s]\naddress = %s\ndomain = %s\nclass = desk\nservice = %s\nleaving = %s\n", e.Name, e.Address, e.Domain, Service, yesNo(m.leaving[e.Name]))
	}
	fmt.Fprintf(&b, "[service %s]\nrepeatable = stock\n", Service)
	return b.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
