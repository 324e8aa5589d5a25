package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"seamshunt/internal/console"
	"seamshunt/internal/control/changelog"
)

// verifyCmd checks a data folder's audit record.
func verifyCmd() *cobra.Command {
	var dir, key, older string
	c := &cobra.Command{Use: "verify", Short: "check the audit record in a data folder", Args: cobra.NoArgs}
	c.RunE = func(*cobra.Command, []string) error {
		if key == "" {
			key = filepath.Join(dir, "audit.pub")
		}
		k, err := os.ReadFile(key)
		if err != nil {
			return err
		}
		if _, err := os.Stat(filepath.Join(dir, "audit.checkpoint")); err != nil {
			return err
		}
		var old []byte
		if older != "" {
			if old, err = os.ReadFile(older); err != nil {
				return err
			}
		}
		n, err := changelog.Verify(dir, strings.TrimSpace(string(k)), old)
		if err != nil {
			return fmt.Errorf("%w: %w", console.ErrCheckFailed, err)
		}
		fmt.Printf("good: %d entries\n", n)
		return nil
	}
	c.Flags().StringVar(&dir, "dir", "", "the data folder")
	c.Flags().StringVar(&key, "key", "", "a file with the verifier key; audit.pub in the folder unless given")
	c.Flags().StringVar(&older, "older", "", "an older checkpoint, which the record must have grown from")
	_ = c.MarkFlagRequired("dir")
	return c
}
