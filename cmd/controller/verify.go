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

// verifyCmd returns the command that checks the audit record in a data folder.
func verifyCmd() *cobra.Command {
	var dir, keyFile, olderFile string
	cmd := &cobra.Command{Use: "verify", Short: "check the audit record in a data folder", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		if keyFile == "" {
			keyFile = filepath.Join(dir, "audit.pub")
		}
		verifierKey, err := os.ReadFile(keyFile)
		if err != nil {
			return err
		}
		if _, err := os.Stat(filepath.Join(dir, "audit.checkpoint")); err != nil {
			return err
		}
		var olderCheckpoint []byte
		if olderFile != "" {
			if olderCheckpoint, err = os.ReadFile(olderFile); err != nil {
				return err
			}
		}
		entries, err := changelog.Verify(dir, strings.TrimSpace(string(verifierKey)), olderCheckpoint)
		if err != nil {
			return fmt.Errorf("%w: %w", console.ErrCheckFailed, err)
		}
		fmt.Printf("good: %d entries\n", entries)
		return nil
	}
	cmd.Flags().StringVar(&dir, "dir", "", "the data folder")
	cmd.Flags().StringVar(&keyFile, "key", "", "a file with the verifier key; audit.pub in the folder unless given")
	cmd.Flags().StringVar(&olderFile, "older", "", "an older checkpoint, which the record must have grown from")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}
