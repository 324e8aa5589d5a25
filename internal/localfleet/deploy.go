// Package localfleet runs a whole deployment on one machine, with test doubles for workers, platform and clients. Only this
// package starts processes; it is not part of the product.
package localfleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"seamshunt/internal/standin"
)

// Machine is one machine of a deployment.
type Machine struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Disk bool   `json:"disk"`
}

// Deployment describes a user's machines and their pool of workers.
type Deployment struct {
	Name     string    `json:"name"`
	Machines []Machine `json:"machines"`
	Pool     string    `json:"pool"`
	Workers  []struct {
		Zone  string `json:"zone"`
		Count int    `json:"count"`
	} `json:"workers"`
	Config string `json:"config"`
	dir    string
}

// LoadDeployment reads a deployment file.
func LoadDeployment(path string) (*Deployment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("localfleet: %w", err)
	}
	var d Deployment
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("localfleet: %s: %w", path, err)
	}
	d.dir = filepath.Dir(path)
	disks := 0
	for _, m := range d.Machines {
		if m.Disk {
			disks++
		}
	}
	if disks == 0 || disks == len(d.Machines) || len(d.Workers) == 0 || d.Pool == "" || d.Config == "" {
		return nil, fmt.Errorf("localfleet: %s: machines with and without a disk, a pool, workers and a configuration are wanted", path)
	}
	return &d, nil
}

// DiskCount returns the number of machines with a disk.
func (d *Deployment) DiskCount() int {
	k := 0
	for _, m := range d.Machines {
		if m.Disk {
			k++
		}
	}
	return k
}

// ConfigBytes reads the deployment's configuration.
func (d *Deployment) ConfigBytes() ([]byte, error) {
	return os.ReadFile(filepath.Join(d.dir, d.Config))
}

// freeAddrs returns n free local addresses.
func freeAddrs(n int) ([]string, error) {
	l := make([]string, n)
	for i := range l {
		var err error
		if l[i], err = standin.FreeAddr(); err != nil {
			return nil, err
		}
	}
	return l, nil
}
