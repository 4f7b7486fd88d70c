// Package lender keeps client accounts within their fleet-wide rates. Each account's token bucket is
// split into slices. One node holds each slice and lends whole tokens to the nodes that need them.
package lender

import (
	"math"
	"slices"
	"time"
)

// Terms are the durations that lenders and borrowers agree on.
type Terms struct {
	// LoanTTL is the lifetime of a borrowed token, counted by the borrower from the time of its request.
	LoanTTL time.Duration
	// NeedTTL is the lifetime of a token that was borrowed for a waiting request.
	NeedTTL time.Duration
	// ClockMargin is added by the lender to allow for the difference of clock rates.
	ClockMargin time.Duration
}

// minBurstPerSlice is the smallest burst that a slice should have, in tokens. An account with a smaller
// burst has a single slice.
const minBurstPerSlice = 2

// maxSlices bounds the slices of one account.
const maxSlices = 8

// Slices returns the number of slices that an account with the given burst is split into.
func Slices(burst int) int {
	return min(max(burst/minBurstPerSlice, 1), maxSlices)
}

// Share returns one slice's part of an account's rate and burst. The parts of all slices add up to
// the account's rate and burst.
func Share(rate float64, burst, slice int) (sliceRate float64, sliceBurst int) {
	n := Slices(burst)
	sliceBurst = burst / n
	if slice < burst%n {
		sliceBurst++
	}
	return rate / float64(n), sliceBurst
}

// Bucket is the token bucket of one slice of an account, kept by the slice's holder. It is not safe for
// concurrent use.
//
// Tokens in the bucket and tokens on loan together never exceed the burst.
type Bucket struct {
	level       float64
	refilledAt  time.Time
	outstanding []outstandingLoan
	nextSerial  int64
}

type outstandingLoan struct {
	serial  int64
	n       int
	expires time.Time
}

// NewBucket returns an empty bucket that fills from the given time on. The number of the holder's term is part of
// each loan's serial, so that loans of different terms never have the same serial.
func NewBucket(from time.Time, term int64) *Bucket {
	return &Bucket{refilledAt: from, nextSerial: term << termBits}
}

// termBits is the number of low bits of a serial that number the loans of one term.
const termBits = 32

// Loan is a lender's answer to a LoanRequest.
type Loan struct {
	// Granted is the number of tokens lent. They cover the needed tokens first.
	Granted int
	// Serial identifies the loan of the needed tokens, and Serial+1 the loan of the others.
	Serial int64
	// EmptyFor is the expected time until the next token; 0 if the bucket still holds one.
	EmptyFor time.Duration
}

// Lend applies the borrower's reports on earlier loans and then deducts the tokens that it grants. A report on
// a loan that has already expired at the lender changes nothing.
func (b *Bucket) Lend(now time.Time, rate float64, burst int, terms Terms, req LoanRequest) Loan {
	b.advance(now, rate, burst)
	for _, r := range req.Reports {
		b.reduceLoan(r.Serial, r.Spent)
		b.level += float64(b.reduceLoan(r.Serial, r.Returned))
	}
	n := b.grantable(req, burst)
	b.level -= float64(n)
	loan := Loan{Granted: n, Serial: b.nextSerial}
	b.addLoan(min(n, req.Need), now.Add(terms.NeedTTL+terms.ClockMargin))
	b.addLoan(n-min(n, req.Need), now.Add(terms.LoanTTL+terms.ClockMargin))
	if b.level < 1 {
		loan.EmptyFor = time.Duration((1 - b.level) / rate * float64(time.Second))
	}
	return loan
}

// LoanRequest is a borrower's request for tokens.
type LoanRequest struct {
	// Need is the number of tokens for waiting requests.
	Need int
	// Want is the total number of tokens requested, including Need.
	Want int
	// Reports describe the use of earlier loans.
	Reports []Report
}

// Report counts the tokens of a loan that were spent or returned since the last report on it.
type Report struct {
	Serial   int64
	Spent    int
	Returned int
}

// grantable returns the number of tokens to lend. Tokens beyond the need are lent only while the
// bucket is more than half full.
func (b *Bucket) grantable(req LoanRequest, burst int) int {
	available := int(b.level)
	need := min(req.Need, available)
	surplus := int(b.level - float64(burst)/2)
	return max(need, min(req.Want, surplus))
}

func (b *Bucket) addLoan(n int, expires time.Time) {
	if n > 0 {
		b.outstanding = append(b.outstanding, outstandingLoan{b.nextSerial, n, expires})
	}
	b.nextSerial++
}

// advance refills the bucket up to now. Each loan counts against the burst until it expires.
func (b *Bucket) advance(now time.Time, rate float64, burst int) {
	slices.SortStableFunc(b.outstanding, func(x, y outstandingLoan) int { return x.expires.Compare(y.expires) })
	for len(b.outstanding) > 0 && !b.outstanding[0].expires.After(now) {
		b.refill(b.outstanding[0].expires, rate, burst)
		b.outstanding = b.outstanding[1:]
	}
	b.refill(now, rate, burst)
}

// reduceLoan removes up to n tokens from a loan and returns how many it removed.
func (b *Bucket) reduceLoan(serial int64, n int) int {
	remaining := n
	kept := b.outstanding[:0]
	for _, l := range b.outstanding {
		if l.serial == serial {
			removed := min(remaining, l.n)
			remaining -= removed
			l.n -= removed
		}
		if l.n > 0 {
			kept = append(kept, l)
		}
	}
	b.outstanding = kept
	return n - remaining
}

func (b *Bucket) refill(now time.Time, rate float64, burst int) {
	if !now.After(b.refilledAt) {
		return
	}
	room := float64(burst - b.onLoan())
	b.level = math.Min(b.level+rate*now.Sub(b.refilledAt).Seconds(), math.Max(room, 0))
	b.refilledAt = now
}

func (b *Bucket) onLoan() int {
	n := 0
	for _, l := range b.outstanding {
		n += l.n
	}
	return n
}
