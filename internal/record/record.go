// Package record writes and reads records of a day (proto/record.proto): length-prefixed protobuf entries on
// one clock, a head first and a foot last. It judges nothing. internal/standin and internal/day write with it,
// internal/rules reads.
package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	pb "cherryhub/proto"
)

// Writer writes a record. It is safe for concurrent use; entries carry the order in which they were written.
type Writer struct {
	mu      sync.Mutex
	out     *bufio.Writer
	closer  io.Closer
	start   time.Time
	entries int64
	err     error
}

// Create begins a record in a file.
func Create(file string, head *pb.Head) (*Writer, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return NewWriter(f, f, head), nil
}

// New begins a record.
func NewWriter(out io.Writer, closer io.Closer, head *pb.Head) *Writer {
	w := &Writer{out: bufio.NewWriterSize(out, 1<<16), closer: closer, start: time.Now()}
	w.Write(&pb.Entry{What: &pb.Entry_Head{Head: head}})
	return w
}

// Now is the record's clock, in seconds.
func (w *Writer) Now() float64 { return time.Since(w.start).Seconds() }

// Write adds an entry. The entry's time is now; its error is kept for Close.
func (w *Writer) Write(e *pb.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.AtS = proto.Float64(w.Now())
	w.writeEntry(e)
}

func (w *Writer) writeEntry(e *pb.Entry) {
	if w.err != nil {
		return
	}
	if _, err := protodelim.MarshalTo(w.out, e); err != nil {
		w.err = fmt.Errorf("record: entry %d: %w", w.entries, err)
	}
	w.entries++
}

// Close writes the foot. Its error is the first of all writes.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeEntry(&pb.Entry{AtS: proto.Float64(w.Now()), What: &pb.Entry_Foot{Foot: &pb.Foot{Entries: proto.Int64(w.entries)}}})
	return errors.Join(w.err, w.out.Flush(), w.closer.Close())
}

// maxEntry bounds an entry, in bytes.
const maxEntryBytes = 1 << 20

// ReadFile reads a whole record. One without a head or a foot, or with entries missing, is refused.
func ReadFile(file string) ([]*pb.Entry, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	defer f.Close()
	entries, err := Read(f)
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", file, err)
	}
	return entries, nil
}

// Read is ReadFile for what is open already.
func Read(in io.Reader) ([]*pb.Entry, error) {
	r := bufio.NewReader(in)
	var all []*pb.Entry
	for {
		e := &pb.Entry{}
		err := protodelim.UnmarshalOptions{MaxSize: maxEntryBytes}.UnmarshalFrom(r, e)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", len(all), err)
		}
		all = append(all, e)
	}
	switch n := len(all); {
	case n == 0 || all[0].GetHead() == nil:
		return nil, errors.New("no head")
	case all[n-1].GetFoot() == nil:
		return nil, fmt.Errorf("cut off after entry %d: no foot", n-1)
	case all[n-1].GetFoot().GetEntries() != int64(n-1):
		return nil, fmt.Errorf("%d entries, the foot counts %d", n-1, all[n-1].GetFoot().GetEntries())
	}
	return all, nil
}
