package loader

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/staging"
)

const (
	// maxVerificationAge is the longest time from the first read of a verification to the
	// order. A piece that turns corrupt after it was read is loaded unnoticed, so that the
	// time is to be short, also if this process was paused in between.
	maxVerificationAge = 1500 * time.Millisecond
	// maxOrderDelay is the time from the first read of a verification after which an order
	// that got no answer is given up. The engine may accept it later: the next verification,
	// which follows, finds a piece that turned corrupt within 3 s.
	maxOrderDelay = 1750 * time.Millisecond
	// verificationTime is the time in which a verification is to end. Pieces are read in
	// parallel if the engine takes longer for them one by one.
	verificationTime = maxVerificationAge / 2
	// maxParallelReads is the largest number of pieces that are read from the engine at the
	// same time.
	maxParallelReads = 16
	// maxVerifications is the number of verifications in a row that may take too long before
	// the attempt fails.
	maxVerifications = 3
)

var (
	// errCorruptPiece means that a piece stored at the engine failed verification.
	errCorruptPiece = eris.New("piece stored at the engine does not match its SHA-256 digest")
	// errVerificationExpired means that a verification took too long for an order to follow.
	errVerificationExpired = eris.New("verification of the pieces at the engine took too long")
)

// pieceCheck is a request to read a piece back from the engine and to verify it.
type pieceCheck struct {
	ctx      context.Context
	manifest *staging.Manifest
	number   int
}

// checkedPiece is the result of a pieceCheck: nil, errCorruptPiece or the error of the read.
type checkedPiece struct {
	number int
	err    error
}

// runPieceVerifier executes pieceChecks, one at a time. Several verifiers run in parallel for
// the engine worker.
func (l *Loader) runPieceVerifier(ctx context.Context) error {
	for {
		check, err := l.checks.Take(ctx)
		if err != nil {
			return nil
		}
		checked := checkedPiece{number: check.number}
		data, err := l.engine.Get(check.ctx, check.manifest.Model, check.number, check.manifest.PieceBytes)
		switch {
		case unusablePiece(err):
			checked.err = errCorruptPiece
		case err != nil:
			checked.err = err
		case !check.manifest.Verify(check.number, data):
			checked.err = errCorruptPiece
		}
		if l.checked.Put(ctx, checked) != nil {
			return nil
		}
	}
}

// unusablePiece reports whether an error of a read means that the engine does not have the
// piece, so that it has to be placed again.
func unusablePiece(err error) bool {
	return errors.Is(err, staging.ErrPieceTooLarge) || errors.Is(err, staging.ErrPieceAbsent)
}

// verifiedOrder verifies every piece at the engine and calls order while that verification
// is at most maxVerificationAge old. A verification that takes longer is repeated.
func (l *Loader) verifiedOrder(ctx context.Context, m *staging.Manifest, order func(context.Context) error) error {
	for range maxVerifications {
		startedAt := l.uptime()
		err := l.verifyPieces(ctx, m, startedAt)
		age := l.uptime() - startedAt
		if errors.Is(err, errVerificationExpired) || err == nil && age > maxVerificationAge {
			_ = l.logger.Log("event", "verification-expired", "version", m.Version, "age", age.Seconds())
			continue
		}
		if err != nil {
			return err
		}
		orderCtx, cancel := context.WithTimeout(ctx, maxOrderDelay-age)
		defer cancel()
		return order(orderCtx)
	}
	return errVerificationExpired
}

// verifyPieces reads all pieces back from the engine and returns the first error. The time
// of the first read decides how many are read in parallel.
func (l *Loader) verifyPieces(ctx context.Context, m *staging.Manifest, startedAt time.Duration) (firstErr error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	parallel, next, inFlight := 1, 0, 0
	for {
		for firstErr == nil && inFlight < parallel && next < len(m.Digests) {
			if err := l.checks.Put(ctx, pieceCheck{ctx: readCtx, manifest: m, number: next}); err != nil {
				return err
			}
			next++
			inFlight++
		}
		if inFlight == 0 {
			return firstErr
		}
		checked, err := l.checked.Take(ctx)
		if err != nil {
			return err
		}
		inFlight--
		age := l.uptime() - startedAt
		if checked.number == 0 {
			parallel = parallelReads(len(m.Digests), age)
		}
		if firstErr == nil {
			firstErr = l.checkResult(m, checked, age)
		}
		if firstErr != nil {
			// The reads that are in progress end early, and their results are taken here, so
			// that the next verification gets its own only.
			cancel()
		}
	}
}

// checkResult returns why a verification of an age ends with the result for a piece, or nil
// if it goes on.
func (l *Loader) checkResult(m *staging.Manifest, checked checkedPiece, age time.Duration) error {
	switch {
	case errors.Is(checked.err, errCorruptPiece):
		_ = l.logger.Log("event", "piece-spoilt", "version", m.Version, "piece", checked.number)
		return checked.err
	case checked.err != nil:
		return checked.err
	case age > maxVerificationAge:
		return errVerificationExpired
	}
	return nil
}

// parallelReads returns how many pieces are to be read in parallel so that all are read
// within verificationTime, if one read takes as long as the first did.
func parallelReads(pieces int, took time.Duration) int {
	needed := time.Duration(pieces)*took/verificationTime + 1
	return int(min(needed, maxParallelReads))
}
