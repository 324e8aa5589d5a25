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
	base      layer = "base"       // basic types, goroutines, logs, settings
	cluster   layer = "cluster"    // messages, connections, membership, push of versioned values
	storage   layer = "storage"    // files of a process with a disk
	config    layer = "config"     // the operator's compiled configuration, and the parts of it that an adapter fills in
	process   layer = "process"    // what both daemons are built on
	control   layer = "control"    // control plane
	dataPlane layer = "data plane" // requests: admission, placement, dispatch
	adapter   layer = "adapter"    // the users' platform
	rig       layer = "rig"        // simulator, local fleets, stand-ins, checker; not part of the shipped programs
	command   layer = "command"    // programs
)

// below lists the layers that each layer may import besides itself. Neither plane is below the other, and only commands
// may import the rig.
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

// layers has the layer of each folder. A package belongs to the layer of the longest path here that contains it.
var layers = map[string]layer{
	"cmd":                      command,
	"internal/adapter":         config,
	"internal/settings":        base,
	"internal/cluster":         cluster,
	"internal/config":          config,
	"internal/console":         process,
	"internal/control":         control,
	"internal/tasks":           base,
	"internal/localfleet":      rig,
	"internal/scaletest":       rig,
	"internal/listener":        base,
	"internal/logring":         base,
	"internal/checker":         rig,
	"internal/linearizability": rig,
	"internal/netfault":        rig,
	"internal/simulator":       rig,
	"internal/router":          dataPlane,
	"internal/partition":       base,
	"internal/socket":          base,
	"internal/standin":         rig,
	"internal/storage":         storage,
	"internal/resultcode":      base,
	"internal/node":            process,
	"internal/units":           base,
	"internal/testutil":        rig,
	"platform":                 adapter,
	"platform/standin":         rig,
}

// dependency is an import of one package of this module by another.
type dependency struct{ from, to string }

// exceptions are the present imports that violate the layers, with the reason. An exception that is no longer needed has
// to be removed.
var exceptions = map[dependency]string{
	{"internal/control/controller", "internal/router/idempotency"}: "controllers store the idempotency claims on their disks and answer claim messages (idempotency.Registry)",
	{"internal/control/controller", "internal/router"}:             "the JSON form of a member in /status is defined once, in router.MemberJSON",
	{"internal/router/idempotency", "internal/control/register"}:   "a claim needs a majority of the same register.QuorumSet",
	{"internal/router", "internal/control/register"}:               "routers receive the quorum set as the value of the key voters",
	{"internal/config", "internal/router/capacity"}:                "the compiled configuration has the settings of capacity coordinators (capacity.Worker)",
	{"internal/config", "internal/router/admission"}:               "the compiler checks the names of admission policies",
	{"internal/config", "internal/router/placement"}:               "the compiler checks the names of placement policies",
	{"internal/cluster/discovery", "internal/config"}:              "an observation of the platform's list consists of config.Worker",
}

// layerOf returns a package's layer, and whether it has one.
func layerOf(folder string) (layer, bool) {
	for f := folder; f != "."; f = path.Dir(f) {
		if l, ok := layers[f]; ok {
			return l, true
		}
	}
	return "", false
}

// mayImport reports whether the layers allow an import.
func mayImport(from, to layer) bool {
	return from == to || slices.Contains(below[from], to)
}

// dependencies returns the imports between packages of this module, except those of tests.
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

// Packages import only their own layer and those below it, except for the exceptions above. Neither plane imports the
// other.
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
			t.Errorf("%s may import %s: remove its exception", d.from, d.to)
		} else if !allowed && !excepted {
			t.Errorf("%s (%s) imports %s (%s)", d.from, from, d.to, to)
		}
	}
	for d := range exceptions {
		if !found[d] {
			t.Errorf("%s doesn't import %s any more: remove its exception", d.from, d.to)
		}
	}
}

// The layers have no cycle: they have an order in which each layer comes after those that it may import.
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
