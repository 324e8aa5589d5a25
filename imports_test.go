package seamshunt

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A layer is a part of the tree whose packages may import one another and those of the layers below it.
type layer string

const (
	base      layer = "base"       // small types, goroutines, logs, settings
	cluster   layer = "cluster"    // messages, connections, membership, spreading of numbered values
	storage   layer = "storage"    // files of a process with a disk
	config    layer = "config"     // the operator's configuration, compiled, and what an adapter fills in
	process   layer = "process"    // what both programs stand on
	control   layer = "control"    // control plane
	dataPlane layer = "data plane" // requests: admission, placement, hand-over
	adapter   layer = "adapter"    // the users' platform
	rig       layer = "rig"        // simulator, local fleets, stand-ins, judge; no part of the shipped programs
	command   layer = "command"    // programs
)

// below lists the layers that each layer may import besides itself. Neither plane is below the other, and nothing but
// commands and the rig is above the rig.
var below = map[layer][]layer{
	base:      {},
	cluster:   {base},
	storage:   {base, cluster},
	config:    {base},
	process:   {base, cluster, config},
	control:   {base, cluster, storage, config, process},
	dataPlane: {base, cluster, config, process},
	adapter:   {base, config},
	rig:       {base, cluster, storage, config, process, control, dataPlane, adapter},
	command:   {base, cluster, config, process, control, dataPlane, adapter, rig},
}

// layers gives each folder's layer; the longest folder that holds a package decides.
var layers = map[string]layer{
	"cmd":               command,
	"internal/adapter":  config,
	"internal/settings":     base,
	"internal/cluster":  cluster,
	"internal/config":   config,
	"internal/console":  process,
	"internal/control":  control,
	"internal/tasks":    base,
	"internal/localfleet":    rig,
	"internal/scaletest":   rig,
	"internal/listener": base,
	"internal/logring":  base,
	"internal/checker": rig,
	"internal/linearizability": rig,
	"internal/netfault": rig,
	"internal/simulator": rig,
	"internal/router":   dataPlane,
	"internal/partition":   base,
	"internal/socket":   base,
	"internal/standin":  rig,
	"internal/storage":  storage,
	"internal/resultcode":    base,
	"internal/node":     process,
	"internal/units":    base,
	"internal/testutil": rig,
	"platform":          adapter,
	"platform/standin":  rig,
}

// dependency is an import of one package of this module by another.
type dependency struct{ from, to string }

// exceptions are the imports that break the layers today, with the reason. One that is gone has to be taken out.
var exceptions = map[dependency]string{
	{"internal/control/controller", "internal/router/idempotency"}: "control nodes hold the idempotency claims on their disks and answer for them (idempotency.Registry)",
	{"internal/control/controller", "internal/router"}:             "the JSON form of a member in /status is written once, in router.Member",
	{"internal/router/idempotency", "internal/control/register"}:   "a claim needs a majority of the same register.QuorumSet",
	{"internal/router", "internal/control/register"}:               "the quorum set comes to routers as a value of the key voters",
	{"internal/config", "internal/router/capacity"}:                "the compiled configuration gives capacity keepers their settings (capacity.Worker)",
	{"internal/config", "internal/router/admission"}:               "the compiler checks the names of admission policies",
	{"internal/config", "internal/router/placement"}:               "the compiler checks the names of placement policies",
	{"internal/cluster/discovery", "internal/config"}:              "a sighting of the platform's list is made of config.Worker",
}

// layerOf gives a package's layer, and whether it has one.
func layerOf(folder string) (layer, bool) {
	for f := folder; f != "."; f = path.Dir(f) {
		if l, ok := layers[f]; ok {
			return l, true
		}
	}
	return "", false
}

// mayImport tells whether the layers allow an import.
func mayImport(from, to layer) bool {
	return from == to || slices.Contains(below[from], to)
}

// dependencies reads the imports of this module's packages by one another, tests apart.
func dependencies(t *testing.T) map[dependency]bool {
	t.Helper()
	found := map[dependency]bool{}
	visit := func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == "testdata" {
			return fs.SkipDir
		}
		if filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
			return nil
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range parsed.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if to, ok := strings.CutPrefix(imported, "seamshunt/"); ok {
				found[dependency{filepath.ToSlash(filepath.Dir(file)), to}] = true
			}
		}
		return nil
	}
	for _, root := range []string{"cmd", "internal", "platform"} {
		if err := filepath.WalkDir(root, visit); err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// Imports go down only, and from neither plane into the other, but for the exceptions above.
func TestImportsGoDown(t *testing.T) {
	found := dependencies(t)
	for d := range found {
		from, fromOK := layerOf(d.from)
		to, toOK := layerOf(d.to)
		if !fromOK || !toOK {
			t.Errorf("%s or %s is in no layer: add it to layers", d.from, d.to)
			continue
		}
		_, excepted := exceptions[d]
		if allowed := mayImport(from, to); allowed && excepted {
			t.Errorf("%s may import %s: take its exception out", d.from, d.to)
		} else if !allowed && !excepted {
			t.Errorf("%s (%s) imports %s (%s)", d.from, from, d.to, to)
		}
	}
	for d := range exceptions {
		if !found[d] {
			t.Errorf("%s doesn't import %s any more: take its exception out", d.from, d.to)
		}
	}
}

// The layers have no cycle: there is an order in which each one's lower ones come before it.
func TestLayersHaveNoCycle(t *testing.T) {
	order := []layer{base, cluster, storage, config, process, control, dataPlane, adapter, rig, command}
	for upper, lowers := range below {
		for _, lower := range lowers {
			if slices.Index(order, lower) >= slices.Index(order, upper) {
				t.Errorf("%s isn't below %s", lower, upper)
			}
		}
	}
}
