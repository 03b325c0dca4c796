// Package replyread reads the bodies of replies in bounded memory: a target in trouble may send bytes without end, in reply
// to many requests at once.
package replyread

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// smallBody is the size up to which a body is read into one buffer that no budget limits.
	smallBody = 16 << 10
	// blockSize is the size of the buffers that hold the rest of a larger body until all of it is there.
	blockSize = 64 << 10
)

// Errors of reads. The body was not read to its end, so its connection must not be reused.
var (
	ErrTooLarge = errors.New("reply body exceeds the size limit")
	ErrBusy     = errors.New("replies that are being read use all memory reserved for them")
)

// Budget bounds the bytes of all bodies that are being read, beyond the first 16 KiB of each. It is safe for concurrent use.
type Budget struct {
	max   int64
	taken atomic.Int64
	// blocks holds buffers for reuse: reads that fail would otherwise leave garbage faster than it is collected.
	blocks sync.Pool
}

// NewBudget returns a budget of max bytes.
func NewBudget(max int64) *Budget {
	return &Budget{max: max, blocks: sync.Pool{New: func() any { return new([blockSize]byte) }}}
}

// ReadAll reads a whole body of at most limit bytes. length is the length that its sender states; -1 if it states none.
// Memory is taken as bytes arrive and not by that length. A body that ends before its stated length gives
// io.ErrUnexpectedEOF, one that is too large ErrTooLarge, and one for which the budget has no room ErrBusy.
func (b *Budget) ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d of at most %d bytes", ErrTooLarge, length, limit)
	}
	if length >= 0 {
		// A reader that knows the length ends there, or breaks off.
		limit = length
	}
	// One byte more than is allowed shows that a body is too large.
	r = io.LimitReader(r, limit+1)
	body := make([]byte, min(smallBody, limit+1))
	n, err := fill(r, body)
	body = body[:n]
	if err == nil {
		body, err = b.readRest(r, body)
	}
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return nil, err
	case int64(len(body)) > limit:
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	case int64(len(body)) < length:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// readRest reads the rest of a body into blocks and returns the whole body with io.EOF, or the error that ended it.
func (b *Budget) readRest(r io.Reader, start []byte) ([]byte, error) {
	var blocks []*[blockSize]byte
	defer func() {
		b.taken.Add(-int64(len(blocks)) * blockSize)
		for _, block := range blocks {
			b.blocks.Put(block)
		}
	}()
	for size := len(start); ; {
		if b.taken.Add(blockSize) > b.max {
			b.taken.Add(-blockSize)
			return nil, ErrBusy
		}
		block := b.blocks.Get().(*[blockSize]byte)
		blocks = append(blocks, block)
		n, err := fill(r, block[:])
		size += n
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			body := append(make([]byte, 0, size), start...)
			for _, block := range blocks {
				body = append(body, block[:min(blockSize, size-len(body))]...)
			}
			return body, err
		default:
			return nil, err
		}
	}
}

// fill reads until buf is full or the reader returns an error. Unlike io.ReadFull it returns that error as it is: a body that
// breaks off gives io.ErrUnexpectedEOF, which must not be mistaken for a body that ends before buf is full.
func fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var read int
		read, err = r.Read(buf[n:])
		n += read
	}
	if n == len(buf) {
		return n, nil
	}
	return n, err
}
