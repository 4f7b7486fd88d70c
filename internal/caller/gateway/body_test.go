package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"gotest.tools/v3/assert"
)

// TestBodyLimit guards against a body that is longer than the operator allows and is passed on, because it comes without a
// length. The limit of the test's configuration is 100 bytes.
func TestBodyLimit(t *testing.T) {
	for _, c := range []struct {
		bytes, length int
		want          int
	}{
		{100, 100, 200},
		{100, -1, 200},
		{101, 101, 413},
		{101, -1, 413},
		{1 << 20, -1, 413},
	} {
		t.Run(fmt.Sprint(c.bytes, " of ", c.length), func(t *testing.T) {
			f := newFixture(t, &transporter.Answer{Status: 200})
			r := httptest.NewRequest(http.MethodPost, "http://h.example/read/1", io.NopCloser(strings.NewReader(strings.Repeat("x", c.bytes))))
			r.ContentLength = int64(c.length)
			r.Header.Set("Authorization", "Bearer key")
			w := httptest.NewRecorder()
			f.gateway.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.want)
			sent := 0
			if c.want == 200 {
				sent = 1
			}
			assert.Equal(t, len(f.sender.jobs), sent)
		})
	}
}
