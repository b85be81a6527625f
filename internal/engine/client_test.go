package engine_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestClientMapsStatusesToErrors(t *testing.T) {
	c := qt.New(t)
	status := http.StatusAccepted
	var got engine.LoadOrder
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/admin/load" {
			_ = json.NewDecoder(r.Body).Decode(&got)
		}
		w.WriteHeader(status)
	}))
	defer server.Close()
	client := &engine.Client{Address: strings.TrimPrefix(server.URL, "http://")}
	order := engine.LoadOrder{Item: fleet.ParseItem("m:a"), Grant: "g", Fencing: 3, Size: fleet.GiB}
	err := client.Load(t.Context(), order)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, order)
	status = http.StatusConflict
	err = client.Load(t.Context(), order)
	c.Assert(err, qt.ErrorIs, engine.ErrFenced)
	status = http.StatusNotFound
	err = client.Unload(t.Context(), engine.UnloadOrder{})
	c.Assert(err, qt.ErrorIs, engine.ErrRefused)
	status = http.StatusInternalServerError
	err = client.Fence(t.Context(), engine.FenceOrder{})
	c.Assert(err, qt.ErrorMatches, `engine .*: fence: status 500: `)
}

func TestClientDistinguishesNotSentFromLostResponse(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	client := &engine.Client{Address: strings.TrimPrefix(server.URL, "http://")}
	err := client.Load(context.Background(), engine.LoadOrder{})
	c.Assert(err, qt.IsNotNil)
	c.Assert(err, qt.Not(qt.ErrorIs), engine.ErrNotSent)
	server.Close()
	err = client.Load(context.Background(), engine.LoadOrder{})
	c.Assert(err, qt.ErrorIs, engine.ErrNotSent)
}
