package turnlog

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"

	"ibisline/internal/record"
)

// Dir is a directory on the disk of an instance.
type Dir interface {
	// List returns the names of the files in ascending order.
	List() ([]string, error)
	// Create creates an empty file. Its name is durable once Create returns.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	Remove(name string) error
}

// File is a file that is only appended to.
type File interface {
	io.ReaderAt
	io.Writer
	io.Closer
	// Sync makes all writes durable.
	Sync() error
	// Size returns the size in bytes.
	Size() (int64, error)
}

// osDir is a Dir of the file system.
type osDir struct{ path string }

// NewDir returns the directory at path and creates it if it is missing.
func NewDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the directory of turns")
	}
	if err := record.SyncDir(filepath.Dir(path)); err != nil {
		return nil, errors.Wrap(err, "sync the parent of the directory of turns")
	}
	return osDir{path}, nil
}

func (d osDir) List() ([]string, error) {
	found, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, file := range found {
		names = append(names, file.Name())
	}
	slices.Sort(names)
	return names, nil
}

func (d osDir) Create(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(d.path, name), os.O_RDWR|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	if err := record.SyncDir(d.path); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return osFile{file}, nil
}

func (d osDir) Open(name string) (File, error) {
	file, err := os.Open(filepath.Join(d.path, name))
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

func (d osDir) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// osFile is a File of the file system.
type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
