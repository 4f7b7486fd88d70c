package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Signature identifies the requests that are the same to a target. It is a cryptographic hash, so that no caller can make a
// request that collides with another one's.
type Signature [16]byte

// String returns the signature in hexadecimal.
func (s Signature) String() string { return hex.EncodeToString(s[:]) }

// ParseSignature returns the signature with the given hexadecimal form, or false if there is none.
func ParseSignature(text string) (Signature, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Signature{}) {
		return Signature{}, false
	}
	return Signature(raw), true
}

// Request holds what makes a request the same as another one.
type Request struct {
	Method, Host string
	// URI is the path with the query, byte for byte.
	URI string
	// Account is the client account, if any. Whether a request without one is a client's or a target's call cannot be told
	// for certain, so the caller's service does not count.
	Account string
	// Body is the body or, if it is longer than what nodes hold, its beginning. BodyLength is its declared length in bytes,
	// or -1 if that is unknown.
	Body       []byte
	BodyLength int64
}

// Sign returns the signature of a request.
func Sign(r *Request) Signature {
	h := sha256.New()
	var length [8]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(b)
	}
	for _, text := range []string{r.Method, r.Host, r.URI, r.Account} {
		write([]byte(text))
	}
	write(r.Body)
	binary.BigEndian.PutUint64(length[:], uint64(r.BodyLength))
	_, _ = h.Write(length[:])
	return Signature(h.Sum(nil)[:len(Signature{})])
}
