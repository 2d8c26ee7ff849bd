// Package journaltest provides an in-memory disk for tests of code that uses
// package journal. It simulates crashes, which lose unsynced data, and injects
// faults.
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

// Operation names a call that can be made to fail.
type Operation string

// Operations of a disk.
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
	// live holds the files that the process sees, and durable those whose names
	// survive a crash.
	live, durable map[string]*file
	locked        map[string]bool
	fault         func(op Operation, name string) error
	spaceLimited  bool
	freeBytes     int
}

var _ journal.FileSystem = (*Disk)(nil)

type file struct {
	data   []byte
	synced []byte
	// stale are the bytes that Truncate cut off after the synced ones since the last sync.
	stale []byte
}

// SetFault sets a function that decides whether an operation fails. A failed
// Write has written half of its bytes.
func (d *Disk) SetFault(f func(op Operation, name string) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// LimitSpace limits the bytes that can still be written to the disk. Truncate and Remove
// give space back. No file can be created without space.
func (d *Disk) LimitSpace(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spaceLimited, d.freeBytes = true, bytes
}

// UnlimitSpace ends the effect of LimitSpace.
func (d *Disk) UnlimitSpace() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spaceLimited = false
}

// Crash discards unsynced data. Keep returns what remains of the unsynced end of a
// file; if it is nil, nothing remains.
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
		if survived := len(data) - len(f.synced); keep != nil && survived < len(f.stale) {
			data = append(data, f.stale[survived:]...)
		}
		recovered := &file{data: data, synced: bytes.Clone(data)}
		d.live[name], d.durable[name] = recovered, recovered
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

// Size returns the bytes that all files hold together.
func (d *Disk) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, f := range d.live {
		total += len(f.data)
	}
	return total
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

// lockForOperation locks the mutex and returns the injected fault, if any.
func (d *Disk) lockForOperation(op Operation, name string) (unlock func(), err error) {
	d.mu.Lock()
	d.init()
	if d.fault != nil {
		err = d.fault(op, name)
	}
	return d.mu.Unlock, err
}

// MakeFolder does nothing but return an injected fault.
func (d *Disk) MakeFolder(name string) error {
	unlock, err := d.lockForOperation(MakeFolder, name)
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

// OpenForAppend opens or creates a file.
func (d *Disk) OpenForAppend(name string) (journal.File, error) {
	unlock, err := d.lockForOperation(Append, name)
	defer unlock()
	if err != nil {
		return nil, err
	}
	f, ok := d.live[name]
	if !ok && d.spaceLimited && d.freeBytes <= 0 {
		return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
	}
	if !ok {
		f = &file{}
		d.live[name] = f
	}
	return &openFile{disk: d, name: name, file: f}, nil
}

// Rename renames a file; the change is durable after SyncFolder.
func (d *Disk) Rename(from, to string) error {
	unlock, err := d.lockForOperation(Rename, from)
	defer unlock()
	if err != nil {
		return err
	}
	d.live[to] = d.live[from]
	delete(d.live, from)
	return nil
}

// Remove deletes a file; the change is durable after SyncFolder.
func (d *Disk) Remove(name string) error {
	unlock, err := d.lockForOperation(Remove, name)
	defer unlock()
	if err != nil {
		return err
	}
	f, ok := d.live[name]
	if !ok {
		return fs.ErrNotExist
	}
	d.freeBytes += len(f.data)
	delete(d.live, name)
	return nil
}

// SyncFolder makes names durable.
func (d *Disk) SyncFolder(name string) error {
	unlock, err := d.lockForOperation(SyncFolder, name)
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

// Lock locks a name until Close or Crash.
func (d *Disk) Lock(name string) (journal.File, error) {
	unlock, err := d.lockForOperation(Lock, name)
	defer unlock()
	if err != nil {
		return nil, err
	}
	if d.locked[name] {
		return nil, journal.ErrLocked
	}
	d.locked[name] = true
	return &openFile{disk: d, name: name, file: &file{}, isLock: true}, nil
}

// openFile is an open file or a lock.
type openFile struct {
	disk   *Disk
	name   string
	file   *file
	isLock bool
}

// Write appends p, or half of it if it fails.
func (h *openFile) Write(p []byte) (int, error) {
	unlock, err := h.disk.lockForOperation(Write, h.name)
	defer unlock()
	written := len(p)
	if err != nil {
		written /= 2
	}
	if h.disk.spaceLimited && written > h.disk.freeBytes {
		written, err = h.disk.freeBytes, syscall.ENOSPC
	}
	h.disk.freeBytes -= written
	h.file.data = append(h.file.data, p[:written]...)
	return written, err
}

// Sync makes the content durable.
func (h *openFile) Sync() error {
	unlock, err := h.disk.lockForOperation(Sync, h.name)
	defer unlock()
	if err != nil {
		return err
	}
	h.file.synced, h.file.stale = bytes.Clone(h.file.data), nil
	return nil
}

// Truncate shortens the file. The bytes that it cuts off may come back in a crash until
// the file is synced.
func (h *openFile) Truncate(size int64) error {
	unlock, err := h.disk.lockForOperation(Truncate, h.name)
	defer unlock()
	if err != nil {
		return err
	}
	h.disk.freeBytes += len(h.file.data) - int(size)
	h.file.stale = bytes.Clone(h.file.data[size:])
	h.file.data = h.file.data[:size]
	h.file.synced = h.file.synced[:min(int64(len(h.file.synced)), size)]
	return nil
}

// Close releases a lock.
func (h *openFile) Close() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.isLock {
		delete(h.disk.locked, h.name)
	}
	return nil
}
