package replog

import "balsamtrail.org/mesh/invariant"

// memLog holds the entries after the last truncation point in memory.
type memLog struct {
	// offset and offsetTerm name the last entry that was dropped.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the last entry that is synced on the own disk.
	stable uint64
}

func (l *memLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 { return l.term(l.last()) }

// term returns the term of an entry, or 0 if it is not held.
func (l *memLog) term(index uint64) uint64 {
	switch {
	case index == l.offset:
		return l.offsetTerm
	case index < l.offset || index > l.last():
		return 0
	}
	return l.entries[index-l.offset-1].Term
}

// holds reports whether the term of the entry at index is known.
func (l *memLog) holds(index uint64) bool { return index >= l.offset && index <= l.last() }

func (l *memLog) slice(from, to uint64) []Entry {
	return l.entries[from-l.offset-1 : to-l.offset : to-l.offset]
}

// batch returns entries from an index on, at least one and at most limit bytes.
func (l *memLog) batch(from uint64, limit int) []Entry {
	to, size := from, 0
	for ; to <= l.last(); to++ {
		size += l.entries[to-l.offset-1].size()
		if size > limit && to > from {
			break
		}
	}
	return l.slice(from, to-1)
}

// truncate drops the entries from index on.
func (l *memLog) truncate(index, commit uint64) {
	invariant.Check(index > commit, invariant.AcceptedNeverReverts, "a committed entry would be replaced",
		"index", index, "commit", commit)
	// The copy keeps slices that were handed out unchanged.
	l.entries = append([]Entry(nil), l.entries[:index-l.offset-1]...)
	l.stable = min(l.stable, index-1)
}

// keepAfter returns the index after which entries are kept behind a snapshot at
// index: at most the given number, of at most the given size.
func (l *memLog) keepAfter(index, entries uint64, bytes int64) uint64 {
	i := index
	for i > l.offset && index-i < entries {
		if bytes -= int64(l.entries[i-l.offset-1].size()); bytes < 0 {
			break
		}
		i--
	}
	return i
}

// compact drops the entries up to index.
func (l *memLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

// reset makes the log empty after a snapshot.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{offset: index, offsetTerm: term, stable: index}
}

// upToDate reports whether a log that ends at (index, term) holds at least
// what this one holds.
func (l *memLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.last()
}
