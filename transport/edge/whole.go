package edge

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/doorvalve/doorvalve/driver/largeanswers"
)

// wholeAnswer is an answer that is held until it is complete. Its large part is held in pieces, which are used again: a
// buffer that grows would take more than twice its content, and leave as much to the garbage collector.
type wholeAnswer struct {
	caller *caller
	// turn waits for the turn of a large answer, and endTurn ends it; nil before it.
	turn    func(context.Context) (end func(whole bool), err error)
	endTurn func(whole bool)
	whole   bool   // it was read to its end
	first   []byte // up to largeanswers.Threshold
	pieces  []*[pieceBytes]byte
	size    int   // of the content, in bytes
	held    int64 // part of size that counts as held bytes
}

var piecePool = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// read reads the answer up to a byte beyond maxAnswerBytes. If there is no memory for the rest, it returns errMemoryFull;
// what was read until then is kept.
func (x *wholeAnswer) read(ctx context.Context, body io.Reader) error {
	var err error
	x.first, err = io.ReadAll(&meteredReader{io.LimitReader(body, largeanswers.Threshold), x.hold})
	if x.size = len(x.first); err != nil || x.size < largeanswers.Threshold {
		return err
	}
	err = x.awaitTurn(ctx)
	rest := &meteredReader{io.LimitReader(body, int64(maxAnswerBytes+1-x.size)), x.hold}
	for err == nil {
		err = x.readPiece(rest)
	}
	if errors.Is(err, io.EOF) {
		x.whole = x.size <= maxAnswerBytes
		return nil
	}
	return err
}

// awaitTurn waits for the turn of the answer, if it is large and did not have it yet.
func (x *wholeAnswer) awaitTurn(ctx context.Context) (err error) {
	if x.endTurn == nil && x.size >= largeanswers.Threshold {
		x.endTurn, err = x.turn(ctx)
	}
	return err
}

// readPiece reads until a piece is full.
func (x *wholeAnswer) readPiece(r io.Reader) error {
	piece := piecePool.Get().(*[pieceBytes]byte)
	x.pieces = append(x.pieces, piece)
	for filled := 0; filled < pieceBytes; {
		n, err := r.Read(piece[filled:])
		filled, x.size = filled+n, x.size+n
		if err != nil {
			return err
		}
	}
	return nil
}

// hold counts n more bytes, and reports whether they may be held.
func (x *wholeAnswer) hold(n int64) bool {
	admitted := x.caller.holdAnswer(n)
	if admitted {
		x.held += n
	}
	return admitted
}

// write writes what was read to the caller.
func (x *wholeAnswer) write() *failure {
	f := x.caller.write(x.first)
	left := x.size - len(x.first)
	for _, piece := range x.pieces {
		if f != nil {
			return f
		}
		f = x.caller.write(piece[:min(left, pieceBytes)])
		left -= min(left, pieceBytes)
	}
	return f
}

// release gives the memory back and ends the turn. The content must not be used after it.
func (x *wholeAnswer) release() {
	if x.endTurn != nil {
		x.endTurn(x.whole)
	}
	x.caller.release(x.held)
	for _, piece := range x.pieces {
		piecePool.Put(piece)
	}
	x.pieces = nil
}
