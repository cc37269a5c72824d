package record

import (
	"os"

	"github.com/go-faster/errors"
)

// SyncDir makes the names of the files in a directory durable.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
