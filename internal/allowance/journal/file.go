package journal

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// fileName is the name of the journal in its folder.
const fileName = "budgets.journal"

// File is a Disk in a folder of the file system.
type File struct {
	dir  string
	file *os.File
}

// NewFile returns the disk in dir, which is made if it is not there.
func NewFile(dir string) (*File, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "folder of the journal")
	}
	return &File{dir: dir}, nil
}

func (f *File) path() string { return filepath.Join(f.dir, fileName) }

// Read implements Disk.
func (f *File) Read() ([]byte, error) {
	content, err := os.ReadFile(f.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return content, err
}

// Append implements Disk.
func (f *File) Append(part []byte) error {
	if f.file == nil {
		return errors.New("the journal is not open")
	}
	if _, err := f.file.Write(part); err != nil {
		return err
	}
	return f.file.Sync()
}

// Replace implements Disk. It writes a new file, makes it durable and gives it the
// old one's name: until the name is durable the old file, and from then on the new
// one, is whole.
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
	return syncFolder(f.dir)
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Close implements Disk.
func (f *File) Close() error {
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}
