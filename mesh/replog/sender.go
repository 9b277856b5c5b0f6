package replog

import (
	"sync"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/replog/wal"
)

// Transport sends messages to other hosts. Send must not block; it may drop,
// delay, duplicate and reorder messages. It is called from one goroutine per
// recipient.
type Transport interface {
	Send(to model.HostID, m Message)
}

// senderQueue is the maximum number of messages queued for one host. Further
// messages are dropped; heartbeats make up for the loss.
const senderQueue = 1024

// senders runs one goroutine per recipient. The map is owned by the goroutine
// that owns the core.
type senders struct {
	tr    Transport
	fs    wal.FS
	dir   string
	queue map[model.HostID]chan Message
	wg    sync.WaitGroup
}

func newSenders(tr Transport, fsys wal.FS, dir string) *senders {
	return &senders{tr: tr, fs: fsys, dir: dir, queue: map[model.HostID]chan Message{}}
}

// send queues messages for their recipients.
func (s *senders) send(messages []Message) {
	for _, m := range messages {
		q, ok := s.queue[m.To]
		if !ok {
			q = make(chan Message, senderQueue)
			s.queue[m.To] = q
			s.wg.Go(func() { s.serve(m.To, q) })
		}
		select {
		case q <- m:
		default:
			droppedOut.Inc(1)
		}
	}
}

// serve sends the messages for one host in order. It reads snapshot chunks from
// the file, so that the owner of the core does not wait for the disk.
func (s *senders) serve(to model.HostID, q <-chan Message) {
	for m := range q {
		if m.Kind == MsgSnapshot && m.Snapshot.Offset != noChunkData && !s.loadChunk(&m) {
			continue
		}
		s.tr.Send(to, m)
	}
}

// loadChunk adds the data of a chunk to m. It returns false if the data cannot
// be read, for example because the snapshot file was removed meanwhile.
func (s *senders) loadChunk(m *Message) bool {
	chunk := *m.Snapshot
	size := min(chunk.Meta.Size-chunk.Offset, snapshotChunkBytes)
	if size < 0 {
		return false
	}
	data, err := readChunk(s.fs, s.dir, chunk.Meta.Index, chunk.Offset, size)
	if err != nil {
		return false
	}
	chunk.Data = data
	m.Snapshot = &chunk
	return true
}

// close ends the sender goroutines and waits for them.
func (s *senders) close() {
	for _, q := range s.queue {
		close(q)
	}
	s.wg.Wait()
}
