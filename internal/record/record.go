// Package record writes and reads records of a day (proto/record.proto): length-prefixed protobuf entries on one
// clock, with a head first and a foot last. It does not interpret them. internal/standin and internal/day write
// records, internal/rules checks them.
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

// Writer writes a record. It is safe for concurrent use. The times of entries never decrease in the order of writing.
type Writer struct {
	mu      sync.Mutex
	out     *bufio.Writer
	closer  io.Closer
	start   time.Time
	entries int64
	err     error
}

// Create creates a file and starts a record in it.
func Create(file string, head *pb.Head) (*Writer, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return NewWriter(f, f, head), nil
}

// NewWriter starts a record by writing its head.
func NewWriter(out io.Writer, closer io.Closer, head *pb.Head) *Writer {
	w := &Writer{out: bufio.NewWriterSize(out, 1<<16), closer: closer, start: time.Now()}
	w.Write(&pb.Entry{What: &pb.Entry_Head{Head: head}})
	return w
}

// Now returns the seconds since the record's start.
func (w *Writer) Now() float64 { return time.Since(w.start).Seconds() }

// Write sets the entry's time to now and appends the entry. Close returns its error.
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

// Close writes the foot and closes the file. Its error includes the first error of Write.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeEntry(&pb.Entry{AtS: proto.Float64(w.Now()), What: &pb.Entry_Foot{Foot: &pb.Foot{Entries: proto.Int64(w.entries)}}})
	return errors.Join(w.err, w.out.Flush(), w.closer.Close())
}

const maxEntryBytes = 1 << 20

// ReadFile reads a complete record. It returns an error if the head, the foot or an entry is missing.
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

// Read is like ReadFile but reads from in.
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
		return nil, errors.New("record has no head")
	case all[n-1].GetFoot() == nil:
		return nil, fmt.Errorf("record truncated after entry %d: no foot", n-1)
	case all[n-1].GetFoot().GetEntries() != int64(n-1):
		return nil, fmt.Errorf("record has %d entries before its foot, the foot says %d", n-1, all[n-1].GetFoot().GetEntries())
	}
	return all, nil
}
