package provider_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"papayacroft/provider"
	"papayacroft/standin"
)

// Read must return every record of a stream whose records don't fit into one response, and must not lose or repeat any
// between two pages.
func TestReadFetchesAllPages(t *testing.T) {
	var requests int
	handler := standin.NewLog(1000).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		requests++
		handler.ServeHTTP(wri, req)
	}))
	defer server.Close()
	log := provider.NewHTTPLog(server.URL)
	log.PageBytes = 2500
	const records = 10
	for number := range records {
		if _, err := log.Append(t.Context(), "stream", bytes.Repeat([]byte{byte(number)}, 1000)); err != nil {
			t.Fatal(err)
		}
	}
	page, err := log.ReadPage(t.Context(), "stream", 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(page.Records), 2; got != want || !page.More || page.Next != 3 {
		t.Errorf("page: got %d records, next %d, more %t; want %d, 3, true", got, page.Next, page.More, want)
	}
	requests = 0
	all, err := log.Read(t.Context(), "stream", 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := requests, records/2; got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
	for number, rec := range all.Records {
		if got, want := rec.Offset, int64(number+1); got != want || rec.Body[0] != byte(number) {
			t.Errorf("record %d: got offset %d and body %d..., want offset %d", number, got, rec.Body[0], want)
		}
	}
	if got, want := all.Next, int64(records+1); got != want || all.More || len(all.Records) != records {
		t.Errorf("got next %d, more %t, %d records; want %d, false, %d", got, all.More, len(all.Records), want, records)
	}
}

// An answer whose head is not valid must be an error, whatever its body says.
func TestInvalidHeads(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Bad: 1\r\n", "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n"} {
		body := "{}"
		server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			standin.AnswerRaw(wri, req, head+"\r\n"+body)
		}))
		log := provider.NewHTTPLog(server.URL)
		if _, err := log.Append(t.Context(), "stream", nil); err == nil {
			t.Errorf("append, %q: got no error, want one", head)
		}
		if _, err := log.ReadPage(t.Context(), "stream", 0, 0); err == nil {
			t.Errorf("read, %q: got no error, want one", head)
		}
		if err := provider.NewHTTPWeightStore(server.URL).Acquire(t.Context(), "model", 1); err == nil {
			t.Errorf("acquire, %q: got no error, want one", head)
		}
		body = "[]"
		if _, err := provider.NewHTTPVMList(server.URL).VMs(t.Context()); err == nil {
			t.Errorf("VM list, %q: got no error, want one", head)
		}
		server.Close()
	}
}

// An answer to a long request that ends with its connection must be an error if the connection was reset, whatever its body says.
func TestEarlyAnswers(t *testing.T) {
	server, err := standin.StartEarlyServer(func(*http.Request) standin.EarlyAnswer {
		return standin.EarlyAnswer{Data: "HTTP/1.1 200 OK\r\n\r\n{}", End: standin.EarlyReset, Pause: 20 * time.Millisecond}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	log := provider.NewHTTPLog("http://" + server.Address())
	var grp sync.WaitGroup
	for range 20 {
		grp.Go(func() {
			if _, err := log.Append(t.Context(), "stream", make([]byte, 4<<20)); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
	grp.Wait()
}
