// Package journaltest has an in-memory disk for tests of what is built on
// package journal. It forgets in a crash what was not synced, and takes faults.
package journaltest

import (
	"bytes"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"radishturn.example/radishturn/pkg/journal"
)

// Operation names a call that a fault may hit.
type Operation string

// Operations.
const (
	MakeFolder Operation = "make-folder"
	Append     Operation = "append"
	Write      Operation = "write"
	Sync       Operation = "sync"
	Truncate   Operation = "truncate"
	Rename     Operation = "rename"
	Remove     Operation = "remove"
	SyncFolder Operation = "sync-folder"
	Lock       Operation = "lock"
)

// Disk is a journal.FileSystem in memory. The zero value is an empty disk.
type Disk struct {
	mu sync.Mutex
	// live is what the process sees, and durable the names that survive a crash.
	live, durable map[string]*file
	locked        map[string]bool
	fault         func(op Operation, name string) error
	limited       bool
	space         int
}

var _ journal.FileSystem = (*Disk)(nil)

type file struct {
	data   []byte
	synced []byte
}

// SetFault lets f decide whether an operation fails. A failed Write has written
// half of its bytes.
func (d *Disk) SetFault(f func(op Operation, name string) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// LimitSpace lets the disk take so many more bytes.
func (d *Disk) LimitSpace(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limited, d.space = true, bytes
}

// Crash drops what was not synced. Keep says what remains of the unsynced end
// of a file; nil keeps nothing.
func (d *Disk) Crash(keep func(unsynced []byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	d.locked = make(map[string]bool)
	d.live = make(map[string]*file)
	for name, f := range d.durable {
		data := bytes.Clone(f.synced)
		if keep != nil && len(f.data) > len(f.synced) {
			data = append(data, keep(bytes.Clone(f.data[len(f.synced):]))...)
		}
		survivor := &file{data: data, synced: bytes.Clone(data)}
		d.live[name], d.durable[name] = survivor, survivor
	}
}

// Names returns the names of all files, sorted.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.live {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Content returns a file's bytes.
func (d *Disk) Content(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return bytes.Clone(d.live[name].data)
}

// SetContent replaces a file, durably.
func (d *Disk) SetContent(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	f := &file{data: bytes.Clone(data), synced: bytes.Clone(data)}
	d.live[name], d.durable[name] = f, f
}

// Delete removes a file, durably.
func (d *Disk) Delete(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.live, name)
	delete(d.durable, name)
}

func (d *Disk) init() {
	if d.live == nil {
		d.live, d.durable = make(map[string]*file), make(map[string]*file)
		d.locked = make(map[string]bool)
	}
}

// begin takes the lock and asks for a fault.
func (d *Disk) begin(op Operation, name string) (unlock func(), err error) {
	d.mu.Lock()
	d.init()
	if d.fault != nil {
		err = d.fault(op, name)
	}
	return d.mu.Unlock, err
}

// MakeFolder succeeds.
func (d *Disk) MakeFolder(name string) error {
	unlock, err := d.begin(MakeFolder, name)
	defer unlock()
	return err
}

// List returns the names in a folder.
func (d *Disk) List(folder string) ([]string, error) {
	var names []string
	for _, name := range d.Names() {
		if filepath.Dir(name) == filepath.Clean(folder) {
			names = append(names, strings.TrimPrefix(name, filepath.Clean(folder)+"/"))
		}
	}
	return names, nil
}

// Read returns a copy of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.live[name]
	if !ok {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	return bytes.Clone(f.data), nil
}

// Append opens or creates a file.
func (d *Disk) Append(name string) (journal.File, error) {
	unlock, err := d.begin(Append, name)
	defer unlock()
	if err != nil {
		return nil, err
	}
	f, ok := d.live[name]
	if !ok {
		f = &file{}
		d.live[name] = f
	}
	return &handle{disk: d, name: name, file: f}, nil
}

// Rename moves a file; it lasts after SyncFolder.
func (d *Disk) Rename(from, to string) error {
	unlock, err := d.begin(Rename, from)
	defer unlock()
	if err != nil {
		return err
	}
	d.live[to] = d.live[from]
	delete(d.live, from)
	return nil
}

// Remove deletes a file; it lasts after SyncFolder.
func (d *Disk) Remove(name string) error {
	unlock, err := d.begin(Remove, name)
	defer unlock()
	if err != nil {
		return err
	}
	if _, ok := d.live[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.live, name)
	return nil
}

// SyncFolder makes names durable.
func (d *Disk) SyncFolder(name string) error {
	unlock, err := d.begin(SyncFolder, name)
	defer unlock()
	if err != nil {
		return err
	}
	for n := range d.durable {
		if filepath.Dir(n) == filepath.Clean(name) {
			delete(d.durable, n)
		}
	}
	for n, f := range d.live {
		if filepath.Dir(n) == filepath.Clean(name) {
			d.durable[n] = f
		}
	}
	return nil
}

// Lock locks a name until Close or a crash.
func (d *Disk) Lock(name string) (journal.File, error) {
	unlock, err := d.begin(Lock, name)
	defer unlock()
	if err != nil {
		return nil, err
	}
	if d.locked[name] {
		return nil, journal.ErrLocked
	}
	d.locked[name] = true
	return &handle{disk: d, name: name, file: &file{}, lock: true}, nil
}

// handle is an open file.
type handle struct {
	disk *Disk
	name string
	file *file
	lock bool
}

// Write appends p, or half of it if it fails.
func (h *handle) Write(p []byte) (int, error) {
	unlock, err := h.disk.begin(Write, h.name)
	defer unlock()
	written := len(p)
	if err != nil {
		written /= 2
	}
	if h.disk.limited && written > h.disk.space {
		written, err = h.disk.space, syscall.ENOSPC
	}
	h.disk.space -= written
	h.file.data = append(h.file.data, p[:written]...)
	return written, err
}

// Sync makes the content durable.
func (h *handle) Sync() error {
	unlock, err := h.disk.begin(Sync, h.name)
	defer unlock()
	if err != nil {
		return err
	}
	h.file.synced = bytes.Clone(h.file.data)
	return nil
}

// Truncate cuts the file.
func (h *handle) Truncate(size int64) error {
	unlock, err := h.disk.begin(Truncate, h.name)
	defer unlock()
	if err != nil {
		return err
	}
	h.file.data = h.file.data[:size]
	h.file.synced = h.file.synced[:min(int64(len(h.file.synced)), size)]
	return nil
}

// Close ends a lock.
func (h *handle) Close() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.lock {
		delete(h.disk.locked, h.name)
	}
	return nil
}
