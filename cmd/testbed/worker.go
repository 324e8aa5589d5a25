package main

import (
	"errors"
	"fmt"
	"net"
	"slices"

	"github.com/spf13/cobra"

	"seamshunt/internal/standin"
)

// workerFaultNames are the values of --wrong.
var workerFaultNames = []string{"", "id", "gap", "double", "cut", "text", "seal", "more", "endless", "dark", "mute"}

// workerCmd serves a test double of a model worker.
func workerCmd() *cobra.Command {
	w := &standin.Worker{Model: standin.DefaultLoadModel}
	var listen, journal string
	c := &cobra.Command{Use: "worker", Short: "a test double of a model worker", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if !slices.Contains(workerFaultNames, w.FaultMode) {
			return fmt.Errorf("--wrong is one of %q", workerFaultNames)
		}
		if w.Model.Knee < 1 || w.Model.CacheBlocks < 1 || w.Model.MaxBatch < 1 {
			return errors.New("--knee, --blocks and --batch are above 0")
		}
		j, err := standin.OpenJournal(journal)
		if err != nil {
			return err
		}
		w.Journal = j
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		return w.Serve(ln)
	}}
	f := c.Flags()
	f.StringVar(&w.Name, "name", "w", "its id")
	f.StringVar(&w.Pool, "pool", "main", "its pool")
	f.StringVar(&w.Zone, "zone", "", "its zone")
	f.StringVar(&w.FaultMode, "wrong", "", "answer incorrectly: id gap double cut text seal more endless dark mute")
	f.IntVar(&w.Model.Knee, "knee", w.Model.Knee, "concurrent requests that it serves without slowing down")
	f.IntVar(&w.Model.CacheBlocks, "blocks", w.Model.CacheBlocks, "size of its prefix cache in blocks of 256 bytes")
	f.IntVar(&w.Model.MaxBatch, "batch", w.Model.MaxBatch, "concurrent requests beyond which it refuses, with a sealed answer")
	f.StringVar(&listen, "listen", "127.0.0.1:0", "its address")
	f.StringVar(&journal, "journal", "worker.jsonl", "file of its journal")
	return c
}
