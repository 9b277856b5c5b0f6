package wal

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
)

// MemFS is an in-memory file system that tracks which data is synced. Tests use
// it to simulate crashes, a full disk and failed syncs.
type MemFS struct {
	// mu guards all fields and the files.
	mu      sync.Mutex
	names   map[string]*memContent
	durable map[string]*memContent
	locks   map[string]bool
	// epoch is the number of crashes so far. File handles of earlier epochs fail.
	epoch int
	free  int64
	// syncErr is the error that Sync of a file returns.
	syncErr error
}

type memContent struct {
	data   []byte
	synced []byte
}

// unlimitedBytes is the free space of a MemFS that is never full, in bytes.
const unlimitedBytes = 1 << 60

// NewMemFS returns an empty file system.
func NewMemFS() *MemFS {
	return &MemFS{names: map[string]*memContent{}, durable: map[string]*memContent{}, locks: map[string]bool{}, free: unlimitedBytes}
}

// SetFree sets the number of bytes that can still be written; a negative number
// means no limit.
func (m *MemFS) SetFree(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free = n
	if n < 0 {
		m.free = unlimitedBytes
	}
}

// SetSyncError makes all later calls of File.Sync fail with err.
func (m *MemFS) SetSyncError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncErr = err
}

// Crash drops unsynced data and directory entries. If a file has n unsynced
// bytes at its end, the first keep(n) of them remain.
func (m *MemFS) Crash(keep func(n int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch++
	m.names, m.locks = map[string]*memContent{}, map[string]bool{}
	for _, name := range sortedNames(m.durable) {
		c := m.durable[name]
		n := len(c.synced)
		if len(c.data) > n && slices.Equal(c.data[:n], c.synced) {
			n += keep(len(c.data) - n)
			c.data = c.data[:n]
		} else {
			c.data = slices.Clone(c.synced)
		}
		c.synced = slices.Clone(c.data)
		m.names[name] = c
	}
}

// Clone returns a copy in which the current contents of all files are synced.
func (m *MemFS) Clone() *MemFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := NewMemFS()
	for name, c := range m.names {
		out.Put(name, c.data)
	}
	return out
}

// Put replaces the contents of a file and makes them durable.
func (m *MemFS) Put(name string, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &memContent{data: slices.Clone(data), synced: slices.Clone(data)}
	m.names[name], m.durable[name] = c, c
}

func sortedNames(files map[string]*memContent) []string {
	names := make([]string, 0, len(files))
	for n := range files {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

type memFile struct {
	fs    *MemFS
	c     *memContent
	epoch int
}

// lockCurrent locks the file system. It fails if the file was opened before a
// crash.
func (f memFile) lockCurrent() error {
	f.fs.mu.Lock()
	if f.epoch != f.fs.epoch {
		f.fs.mu.Unlock()
		return fs.ErrClosed
	}
	return nil
}

func (f memFile) Write(b []byte) (int, error) {
	if err := f.lockCurrent(); err != nil {
		return 0, err
	}
	defer f.fs.mu.Unlock()
	n := min(int64(len(b)), f.fs.free)
	f.c.data = append(f.c.data, b[:n]...)
	f.fs.free -= n
	if int(n) < len(b) {
		return int(n), syscall.ENOSPC
	}
	return len(b), nil
}

func (f memFile) ReadAt(b []byte, off int64) (int, error) {
	if err := f.lockCurrent(); err != nil {
		return 0, err
	}
	defer f.fs.mu.Unlock()
	if off > int64(len(f.c.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.c.data[off:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f memFile) Sync() error {
	if err := f.lockCurrent(); err != nil {
		return err
	}
	defer f.fs.mu.Unlock()
	if f.fs.syncErr != nil {
		return f.fs.syncErr
	}
	f.c.synced = slices.Clone(f.c.data)
	return nil
}

func (f memFile) Truncate(size int64) error {
	if err := f.lockCurrent(); err != nil {
		return err
	}
	defer f.fs.mu.Unlock()
	f.c.data = f.c.data[:size:size]
	return nil
}

func (f memFile) Size() (int64, error) {
	if err := f.lockCurrent(); err != nil {
		return 0, err
	}
	defer f.fs.mu.Unlock()
	return int64(len(f.c.data)), nil
}

func (f memFile) Close() error { return nil }

// Create implements FS.
func (m *MemFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.free == 0 {
		return nil, syscall.ENOSPC
	}
	c := &memContent{}
	m.names[name] = c
	return memFile{fs: m, c: c, epoch: m.epoch}, nil
}

// Open implements FS.
func (m *MemFS) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.names[name]
	if !ok {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return memFile{fs: m, c: c, epoch: m.epoch}, nil
}

// ReadFile implements FS.
func (m *MemFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.names[name]
	if !ok {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(c.data), nil
}

// List implements FS.
func (m *MemFS) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, n := range sortedNames(m.names) {
		if filepath.Dir(n) == dir {
			names = append(names, filepath.Base(n))
		}
	}
	return names, nil
}

// Rename implements FS.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.names[from]
	if !ok {
		return fmt.Errorf("%s: %w", from, fs.ErrNotExist)
	}
	m.names[to] = c
	delete(m.names, from)
	return nil
}

// Remove implements FS.
func (m *MemFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.names, name)
	return nil
}

// MkdirAll implements FS. It does nothing, since directories exist implicitly.
func (m *MemFS) MkdirAll(string) error { return nil }

// SyncDir implements FS.
func (m *MemFS) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := range m.durable {
		if filepath.Dir(n) == dir && m.names[n] == nil {
			delete(m.durable, n)
		}
	}
	for n, c := range m.names {
		if filepath.Dir(n) == dir {
			m.durable[n] = c
		}
	}
	return nil
}

// Lock implements FS.
func (m *MemFS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[name] {
		return nil, fmt.Errorf("lock %s: %w", name, syscall.EAGAIN)
	}
	m.locks[name] = true
	return memLock{fs: m, name: name}, nil
}

type memLock struct {
	fs   *MemFS
	name string
}

func (l memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.name)
	return nil
}
