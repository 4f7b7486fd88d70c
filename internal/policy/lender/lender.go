// Package lender keeps client accounts within their fleet-wide rates by lending whole tokens.
package lender

import (
	"math"
	"slices"
	"time"
)

// Terms are the times that lenders and borrowers agree on.
type Terms struct {
	// Loan is how long a borrowed token lasts, counted by the borrower from when it asked.
	Loan time.Duration
	// Need is how long a token lasts that a waiting request asked for.
	Need time.Duration
	// Margin is added by the lender for the difference of clock rates.
	Margin time.Duration
}

// burstPerSlice is the least burst that a slice of an account should keep, in tokens.
const burstPerSlice = 2

// maxSlices bounds the slices of one account.
const maxSlices = 8

// Slices returns into how many slices an account with a burst is cut.
func Slices(burst int) int {
	return min(max(burst/burstPerSlice, 1), maxSlices)
}

// Share returns one slice's part of an account's rate and burst. The parts add up exactly.
func Share(rate float64, burst, slice int) (sliceRate float64, sliceBurst int) {
	n := Slices(burst)
	sliceBurst = burst / n
	if slice < burst%n {
		sliceBurst++
	}
	return rate / float64(n), sliceBurst
}

// Bucket is one slice of an account at its holder. It is not safe for concurrent use.
//
// Tokens in the bucket and tokens on loan together never exceed the burst.
type Bucket struct {
	level  float64
	at     time.Time
	loans  []loan
	serial int64
}

type loan struct {
	serial  int64
	n       int
	expires time.Time
}

// Open makes an empty bucket that fills from a time on. Term numbers the holder's term, so that loans
// of different terms never share a serial.
func Open(from time.Time, term int64) *Bucket { return &Bucket{at: from, serial: term << termBits} }

// termBits leaves room for the serials of one term.
const termBits = 32

// Loan is a lender's answer.
type Loan struct {
	// Granted counts the needed tokens first.
	Granted int
	// Serial numbers the loan of the needed tokens; the next number is that of the others.
	Serial int64
	// Dry is when the next token is expected, from now; 0 if there are some left.
	Dry time.Duration
}

// Lend deducts tokens for a borrower: need for requests that wait, want in all. The borrower reports
// what has become of its earlier loans. A report on a loan that has expired here changes nothing.
func (b *Bucket) Lend(now time.Time, rate float64, burst int, terms Terms, ask Ask) Loan {
	b.advance(now, rate, burst)
	for _, r := range ask.Reports {
		b.settle(r.Serial, r.Spent)
		b.level += float64(b.settle(r.Serial, r.Returned))
	}
	n := b.affordable(ask, burst)
	b.level -= float64(n)
	out := Loan{Granted: n, Serial: b.serial}
	b.lend(min(n, ask.Need), now.Add(terms.Need+terms.Margin))
	b.lend(n-min(n, ask.Need), now.Add(terms.Loan+terms.Margin))
	if b.level < 1 {
		out.Dry = time.Duration((1 - b.level) / rate * float64(time.Second))
	}
	return out
}

// Ask is a borrower's request.
type Ask struct {
	Need    int
	Want    int
	Reports []Report
}

// Report says what has become of a loan since the last report on it.
type Report struct {
	Serial   int64
	Spent    int
	Returned int
}

// affordable grants wants beyond the need only out of the upper half of the bucket.
func (b *Bucket) affordable(ask Ask, burst int) int {
	whole := int(b.level)
	need := min(ask.Need, whole)
	spare := int(b.level - float64(burst)/2)
	return max(need, min(ask.Want, spare))
}

func (b *Bucket) lend(n int, expires time.Time) {
	if n > 0 {
		b.loans = append(b.loans, loan{b.serial, n, expires})
	}
	b.serial++
}

// advance fills the bucket up to now. Each loan counts against the burst until it expires.
func (b *Bucket) advance(now time.Time, rate float64, burst int) {
	slices.SortStableFunc(b.loans, func(x, y loan) int { return x.expires.Compare(y.expires) })
	for len(b.loans) > 0 && !b.loans[0].expires.After(now) {
		b.refill(b.loans[0].expires, rate, burst)
		b.loans = b.loans[1:]
	}
	b.refill(now, rate, burst)
}

// settle ends up to n tokens of a loan and returns how many it found.
func (b *Bucket) settle(serial int64, n int) int {
	left := n
	kept := b.loans[:0]
	for _, l := range b.loans {
		if l.serial == serial {
			used := min(left, l.n)
			left -= used
			l.n -= used
		}
		if l.n > 0 {
			kept = append(kept, l)
		}
	}
	b.loans = kept
	return n - left
}

func (b *Bucket) refill(now time.Time, rate float64, burst int) {
	if !now.After(b.at) {
		return
	}
	room := float64(burst - b.onLoan())
	b.level = math.Min(b.level+rate*now.Sub(b.at).Seconds(), math.Max(room, 0))
	b.at = now
}

func (b *Bucket) onLoan() int {
	n := 0
	for _, l := range b.loans {
		n += l.n
	}
	return n
}
