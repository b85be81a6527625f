package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
)

// tokensPerStream is the number of events of one benchmarked stream.
const tokensPerStream = 500

// tokenStream flushes one event per token, as engines do.
func tokenStream() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(engine.RequestIDHeader)
		w.Header().Set("Content-Type", "text/event-stream")
		event := make([]byte, 0, 256)
		for at := range tokensPerStream {
			event = append(event[:0], "id: "...)
			event = append(event, id...)
			event = append(event, '/')
			event = strconv.AppendInt(event, int64(at), 10)
			event = append(event, "\ndata: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"hop\","+
				"\"choices\":[{\"index\":0,\"delta\":{\"content\":\"wreath \"},\"finish_reason\":null}]}\n\n"...)
			_, _ = w.Write(event)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "id: "+id+"/"+strconv.Itoa(tokensPerStream)+"\ndata: [DONE]\n\n")
	})
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkStreams(b *testing.B, url string) {
	b.ReportAllocs()
	before := processorTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(chatBody))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	spent := processorTime() - before
	b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N*tokensPerStream), "cpu-ns/token")
}

// BenchmarkDirect measures the cost of engine and caller without a node between
// them.
func BenchmarkDirect(b *testing.B) {
	server := httptest.NewServer(tokenStream())
	defer server.Close()
	benchmarkStreams(b, server.URL)
}

// BenchmarkRelay measures the cost with a node in between. The difference to
// BenchmarkDirect is the cost of the node.
func BenchmarkRelay(b *testing.B) {
	server := httptest.NewServer(tokenStream())
	defer server.Close()
	node := httptest.NewServer(newNode(server).Handler())
	defer node.Close()
	benchmarkStreams(b, node.URL)
}
