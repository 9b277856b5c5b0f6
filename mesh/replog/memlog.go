package replog

import "balsamtrail.org/mesh/invariant"

// memLog holds in memory the log entries that were not compacted.
type memLog struct {
	// offset and offsetTerm are index and term of the last compacted entry.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the index of the last entry that is synced on the local disk.
	stable uint64
}

func (l *memLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 { return l.term(l.last()) }

// term returns the term of the entry at index, or 0 if it is not known.
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

// batch returns the entries from an index on, up to limit bytes but at least one
// entry.
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
	invariant.Check(index > commit, invariant.AcceptedNeverReverts, "committed entry would be replaced",
		"index", index, "commit", commit)
	// Slices returned earlier share the array, so it must not be overwritten.
	l.entries = append([]Entry(nil), l.entries[:index-l.offset-1]...)
	l.stable = min(l.stable, index-1)
}

// keepAfter returns the index up to which the log can be compacted after a
// snapshot at index. The entries kept before the snapshot are limited in number
// and in size.
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

// compact drops the entries up to and including index.
func (l *memLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

// reset empties the log; it continues after the snapshot at index.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{offset: index, offsetTerm: term, stable: index}
}

// upToDate reports whether a log that ends at (index, term) is at least as
// up-to-date as this one.
func (l *memLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.last()
}
