package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/platform/platformtest"
)

// BenchmarkScatter measures a scatter request over 36 shards. The result includes the work of the stand-in targets,
// which run in the same process.
func BenchmarkScatter(b *testing.B) {
	w := newWorld(b, testExtra)
	var shards []string
	for i := range 36 {
		s := fmt.Sprintf("s%d", i)
		shards = append(shards, s)
		for _, zone := range []string{"a", "b", "c"} {
			w.leaf(s, zone, platformtest.Records(1, 2, 3, 4, 5, 6, 7))
		}
	}
	w.routes(scatter(0.9, shards...))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := httptest.NewRequest(http.MethodGet, "/q/x", nil)
		r.Host = "h.example"
		r.Header.Set(platformtest.HeaderID, fmt.Sprint(i))
		r.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(5*time.Second.Milliseconds()))
		rec := httptest.NewRecorder()
		w.service.ServeHTTP(rec, r)
		require.Equal(b, http.StatusOK, rec.Code)
		_, err := io.Copy(io.Discard, rec.Body)
		require.NoError(b, err)
	}
}
