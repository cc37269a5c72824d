// Package journaltest provides an in-memory journal disk with fault injection.
package journaltest

import (
	"bytes"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Disk is a journal.Disk in memory. It outlives its journal, as a disk outlives a process.
type Disk struct {
	mu      sync.Mutex
	content []byte
	failure error
	delay   time.Duration
}

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{} }

// Fail makes all writes fail with err, or succeed again if err is nil.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = err
}

// SetDelay makes each Append of a process take at least a duration.
func (d *Disk) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// appendDelay returns the shortest duration of an Append.
func (d *Disk) appendDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay
}

// Process returns one process's view of the disk.
func (d *Disk) Process() *Process { return &Process{disk: d} }

// Process is a journal.Disk whose writes fail once its process has ended.
type Process struct {
	disk  *Disk
	mu    sync.Mutex
	ended bool
}

// errEnded is returned for writes of a process that has ended.
var errEnded = errors.New("the process has ended")

// End ends the process. Its later writes do not reach the disk.
func (p *Process) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

// Read implements journal.Disk.
func (p *Process) Read() ([]byte, error) { return p.disk.Read() }

// Replace implements journal.Disk.
func (p *Process) Replace(content []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return errEnded
	}
	return p.disk.Replace(content)
}

// Append implements journal.Disk.
func (p *Process) Append(part []byte) error {
	// Not under the mutex: virtual time stands still while a goroutine waits for one.
	if delay := p.disk.appendDelay(); delay > 0 {
		time.Sleep(delay)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return errEnded
	}
	return p.disk.Append(part)
}

// Close implements journal.Disk.
func (p *Process) Close() error { return nil }

// Wipe deletes the content.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.content = nil
}

// Content returns a copy of the content.
func (d *Disk) Content() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return bytes.Clone(d.content)
}

// Read implements journal.Disk.
func (d *Disk) Read() ([]byte, error) { return d.Content(), nil }

// Replace implements journal.Disk.
func (d *Disk) Replace(content []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failure != nil {
		return d.failure
	}
	d.content = bytes.Clone(content)
	return nil
}

// Append adds to the content. A failing Append stores half of the data.
func (d *Disk) Append(part []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failure != nil {
		d.content = append(d.content, part[:len(part)/2]...)
		return d.failure
	}
	d.content = append(d.content, part...)
	return nil
}

// Close implements journal.Disk.
func (d *Disk) Close() error { return nil }
