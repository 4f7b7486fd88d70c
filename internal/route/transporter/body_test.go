package transporter_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"gotest.tools/v3/assert"
)

// TestReadBody checks that bodies of all lengths are read whole, and that one that ends early is an error.
func TestReadBody(t *testing.T) {
	for _, length := range []int{0, 1, 4095, 4096, 4097, 10_000, transporter.MaxBufferedBytes} {
		text := strings.Repeat("x", length)
		body, err := transporter.ReadBody(strings.NewReader(text), int64(length))
		assert.NilError(t, err)
		assert.Assert(t, body.Stream == nil)
		assert.Assert(t, bytes.Equal(body.Buffered, []byte(text)), "%d of %d bytes", len(body.Buffered), length)
		_, err = transporter.ReadBody(strings.NewReader(text+"y"), int64(length))
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "longer than %d bytes: %v", length, err)
		if length > 0 {
			_, err = transporter.ReadBody(strings.NewReader(text[1:]), int64(length))
			assert.Assert(t, err != nil, "shorter than %d bytes", length)
		}
	}
}

// TestDeclaredBody guards against bodies that take up their declared length before they have arrived.
func TestDeclaredBody(t *testing.T) {
	const maxBytes = 8 << 10
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := transporter.ReadBody(strings.NewReader("x"), transporter.MaxBufferedBytes); err == nil {
				b.Fatal("the body is not whole")
			}
		}
	})
	assert.Assert(t, result.AllocedBytesPerOp() < maxBytes, "%d bytes", result.AllocedBytesPerOp())
}
