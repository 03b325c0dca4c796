package replyread_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/replyread"
)

// endless is a reader that never ends and counts the bytes that are read.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// Guards against reading far beyond the limit before a body counts as too large.
func TestReadEndsAtTheLimit(t *testing.T) {
	for _, limit := range []int64{1, 16<<10 - 1, 16 << 10, 80 << 10, 4 << 20, 5 << 20} {
		var e endless
		_, err := replyread.NewBudget(1<<30).ReadAll(&e, -1, limit)
		require.ErrorIs(t, err, replyread.ErrTooLarge)
		require.EqualValues(t, limit+1, e.read)
	}
}

// Guards against a body that is cut, passes as whole although it broke off, or exceeds its limit.
func TestReadAll(t *testing.T) {
	const limit = 100 << 10
	broken := io.ErrUnexpectedEOF // what net/http returns for a body that breaks off
	for _, c := range []struct {
		name         string
		size, length int64
		broken       bool
		err          error
	}{
		{"empty", 0, 0, false, nil}, {"stated length", 40 << 10, 40 << 10, false, nil}, {"no stated length", 40 << 10, -1, false, nil},
		{"at the limit", limit, limit, false, nil}, {"at the limit, no stated length", limit, -1, false, nil},
		{"one byte above the limit", limit + 1, -1, false, replyread.ErrTooLarge}, {"stated length above the limit", 1, limit + 1, false, replyread.ErrTooLarge},
		{"shorter than stated", 40 << 10, 41 << 10, false, io.ErrUnexpectedEOF}, {"broken off", 40 << 10, -1, true, broken},
		{"broken off early", 100, -1, true, broken}, {"broken off at the end of a buffer", 80 << 10, -1, true, broken},
	} {
		want := bytes.Repeat([]byte("b"), int(c.size))
		var r io.Reader = bytes.NewReader(want)
		if c.broken {
			r = io.MultiReader(r, iotest.ErrReader(broken))
		}
		got, err := replyread.NewBudget(1<<20).ReadAll(r, c.length, limit)
		require.ErrorIs(t, err, c.err, c.name)
		if c.err == nil {
			require.True(t, bytes.Equal(want, got), c.name)
		}
	}
}

// Guards against bodies that together take more memory than the budget, and against memory that a failed read keeps.
func TestBudgetIsSharedAndReturned(t *testing.T) {
	b := replyread.NewBudget(1 << 20)
	for range 3 {
		_, err := b.ReadAll(new(endless), -1, 16<<20)
		require.ErrorIs(t, err, replyread.ErrBusy)
	}
	reader, writer := io.Pipe()
	first := make(chan error, 1)
	go func() {
		_, err := b.ReadAll(reader, -1, 16<<20)
		first <- err
	}()
	_, err := writer.Write(make([]byte, 600<<10))
	require.NoError(t, err)
	_, err = b.ReadAll(strings.NewReader(strings.Repeat("b", 600<<10)), -1, 16<<20)
	require.ErrorIs(t, err, replyread.ErrBusy)
	_, err = b.ReadAll(strings.NewReader("small"), -1, 16<<20)
	require.NoError(t, err, "a small body needs no part of the budget")
	require.NoError(t, writer.Close())
	require.NoError(t, <-first)
	_, err = b.ReadAll(strings.NewReader(strings.Repeat("b", 600<<10)), -1, 16<<20)
	require.NoError(t, err)
}
