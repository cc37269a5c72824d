// Package turnlogtest provides an in-memory directory of turns with fault injection.
package turnlogtest

import (
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/history/turnlog"
)

// Disk outlives the processes that use it. It is safe for concurrent use.
type Disk struct {
	mu      sync.Mutex
	files   map[string]*content
	process *Process
	failure error
	delay   time.Duration
}

// content is the data of one file, of which the first synced bytes survive a loss of power.
type content struct {
	data   []byte
	synced int
}

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{files: map[string]*content{}} }

// Fail makes all writes fail with err, or succeed again if err is nil.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = err
}

// SetDelay makes each sync take at least a duration.
func (d *Disk) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Start ends the process that uses the disk, and returns the next process's view of it.
func (d *Disk) Start() *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = &Process{disk: d}
	return d.process
}

// LosePower ends the process that uses the disk. Of what was not synced, a part of any length is kept.
func (d *Disk) LosePower(draw *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = nil
	for _, c := range d.files {
		kept := c.synced + draw.IntN(len(c.data)-c.synced+1)
		c.data = slices.Clone(c.data[:kept])
		c.synced = kept
	}
}

// Wipe ends the process that uses the disk and replaces the disk by an empty one.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = nil
	d.files = map[string]*content{}
}

// Corrupt changes one byte in the middle of a file that a predicate selects.
func (d *Disk) Corrupt(selects func(name string, size int) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.files {
		if selects(name, len(c.data)) {
			c.data[len(c.data)/2] ^= 1
		}
	}
}

// Process is a turnlog.Dir whose calls fail once its process has ended.
type Process struct{ disk *Disk }

var errEnded = errors.New("the process has ended")

// use calls f with the files, unless the process has ended.
func (p *Process) use(f func() error) error {
	p.disk.mu.Lock()
	defer p.disk.mu.Unlock()
	if p.disk.process != p {
		return errEnded
	}
	return f()
}

// write is use for calls that fail while the disk fails.
func (p *Process) write(f func() error) error {
	return p.use(func() error {
		if p.disk.failure != nil {
			return p.disk.failure
		}
		return f()
	})
}

// List implements turnlog.Dir.
func (p *Process) List() ([]string, error) {
	var names []string
	err := p.use(func() error {
		for name := range p.disk.files {
			names = append(names, name)
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}

// Create implements turnlog.Dir.
func (p *Process) Create(name string) (turnlog.File, error) {
	created := &file{process: p}
	return created, p.write(func() error {
		if p.disk.files[name] != nil {
			return os.ErrExist
		}
		created.content = &content{}
		p.disk.files[name] = created.content
		return nil
	})
}

// Open implements turnlog.Dir.
func (p *Process) Open(name string) (turnlog.File, error) {
	opened := &file{process: p}
	return opened, p.use(func() error {
		if opened.content = p.disk.files[name]; opened.content == nil {
			return os.ErrNotExist
		}
		return nil
	})
}

// Remove implements turnlog.Dir.
func (p *Process) Remove(name string) error {
	return p.write(func() error {
		delete(p.disk.files, name)
		return nil
	})
}

// file is an open file.
type file struct {
	process *Process
	content *content
}

func (f *file) ReadAt(part []byte, offset int64) (n int, err error) {
	err = f.process.use(func() error {
		if offset > int64(len(f.content.data)) {
			return io.EOF
		}
		n = copy(part, f.content.data[offset:])
		if n < len(part) {
			return io.EOF
		}
		return nil
	})
	return n, err
}

func (f *file) Write(part []byte) (int, error) {
	return len(part), f.process.write(func() error {
		f.content.data = append(f.content.data, part...)
		return nil
	})
}

func (f *file) Sync() error {
	f.process.disk.mu.Lock()
	delay := f.process.disk.delay
	f.process.disk.mu.Unlock()
	time.Sleep(delay)
	return f.process.write(func() error {
		f.content.synced = len(f.content.data)
		return nil
	})
}

func (f *file) Size() (size int64, err error) {
	err = f.process.use(func() error {
		size = int64(len(f.content.data))
		return nil
	})
	return size, err
}

func (f *file) Close() error { return nil }
