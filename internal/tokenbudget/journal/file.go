package journal

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"ibisline/internal/record"
)

// fileName is the name of the journal file in its directory.
const fileName = "budgets.journal"

// File is a Disk in a directory of the file system.
type File struct {
	dir  string
	file *os.File
}

// NewFile returns the disk in dir and creates the directory if it is missing.
func NewFile(dir string) (*File, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the directory of the journal")
	}
	return &File{dir: dir}, nil
}

func (f *File) path() string { return filepath.Join(f.dir, fileName) }

// Read returns the content of the file, nil if it does not exist.
func (f *File) Read() ([]byte, error) {
	content, err := os.ReadFile(f.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return content, err
}

// Append writes to the end of the file and syncs it.
func (f *File) Append(part []byte) error {
	if f.file == nil {
		return errors.New("append to the journal: file is not open")
	}
	if _, err := f.file.Write(part); err != nil {
		return err
	}
	return f.file.Sync()
}

// Replace writes a temporary file, syncs it and renames it over the old one. Until the
// rename is durable the old file is intact, afterwards the new one.
func (f *File) Replace(content []byte) error {
	temporary := f.path() + ".new"
	next, err := os.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	if err := f.install(next, temporary, content); err != nil {
		_ = next.Close()
		return err
	}
	if f.file != nil {
		_ = f.file.Close()
	}
	f.file = next
	return nil
}

func (f *File) install(next *os.File, temporary string, content []byte) error {
	if _, err := next.Write(content); err != nil {
		return err
	}
	if err := next.Sync(); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.path()); err != nil {
		return err
	}
	return record.SyncDir(f.dir)
}

// Close closes the file if it is open.
func (f *File) Close() error {
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}
