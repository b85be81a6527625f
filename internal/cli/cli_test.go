package cli_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/cli"
)

var update = flag.Bool("update", false, "write golden files anew")

// fakeNode serves the responses under testdata/node: "GET /v1/status" returns
// GET_v1_status.json. A request that status maps to a code, such as 409, returns
// POST_v1_tickets.409.json with that code. Without a file, it answers 404.
func fakeNode(t *testing.T, status map[string]int) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.Method + strings.ReplaceAll(r.URL.Path, "/", "_")
		code := http.StatusOK
		if failing, found := status[name]; found {
			code = failing
			name += "." + strconv.Itoa(failing)
		}
		text, err := os.ReadFile(filepath.Join("testdata", "node", name+".json"))
		if err != nil {
			code, text = http.StatusNotFound, []byte(`{"error":{"message":"record not found"}}`)
		}
		w.WriteHeader(code)
		_, _ = w.Write(text)
	}))
	t.Cleanup(server.Close)
	return server
}

// TestCommands compares standard output, standard error and exit code of commands
// with the golden files under testdata/commands.
func TestCommands(t *testing.T) {
	conflict := map[string]int{"POST_v1_tickets": http.StatusConflict}
	wrong := map[string]int{"POST_v1_tickets": http.StatusBadRequest}
	unknown := map[string]int{"POST_v1_tickets": http.StatusGatewayTimeout}
	tests := []struct {
		name string
		fail map[string]int
		args string
	}{
		{"apply", nil, "ticket apply --node URL testdata/ticket.json"},
		{"applyWait", nil, "ticket apply --wait --limit 1ms --node URL testdata/ticket.json"},
		{"applyJSON", nil, "--json ticket apply --wait --limit 1ms --node URL testdata/ticket.json"},
		{"applyStale", conflict, "ticket apply --node URL testdata/ticket.json"},
		{"applyWrong", wrong, "ticket apply --node URL testdata/ticket.json"},
		{"applyUnknown", unknown, "ticket apply --node URL testdata/ticket.json"},
		{"applyBadFile", nil, "ticket apply --node URL testdata/badticket.json"},
		{"applyNoFile", nil, "ticket apply --node URL testdata/none.json"},
		{"list", nil, "ticket list --node URL"},
		{"show", nil, "ticket show --node URL 7"},
		{"showBadNumber", nil, "ticket show --node URL x"},
		{"showMissing", nil, "ticket show --node URL 99"},
		{"diff", nil, "ticket diff --node URL testdata/ticket.json"},
		{"status", nil, "status --node URL"},
		{"statusItem", nil, "status --node URL hop-advisor"},
		{"where", nil, "where --caller-address URL hop-advisor"},
		{"audit", nil, "audit --node URL"},
		{"drain", nil, "drain --node URL"},
		{"unreachable", nil, "status --node 127.0.0.1:1"},
		{"settingsBad", nil, "settings check testdata/badsettings.json"},
		{"settingsDefaults", nil, "settings defaults"},
		{"explain", nil, "explain r1 ../explain/testdata/node.log"},
		{"explainUnknown", nil, "explain r9 ../explain/testdata/node.log"},
		{"explainNoFile", nil, "explain r1 testdata/none.log"},
		{"noCommand", nil, ""},
		{"badFlag", nil, "status --nod x"},
		{"help", nil, "--help"},
		{"completion", nil, "completion"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			node := fakeNode(t, test.fail)
			var out, errs bytes.Buffer
			app := &cli.App{Name: "guavatrack", Out: &out, Err: &errs}
			code := app.Run(t.Context(), strings.Fields(strings.ReplaceAll(test.args, "URL", node.URL)))
			got, err := json.MarshalIndent(map[string]any{
				"code": code, "out": lines(out.String(), node.URL), "err": lines(errs.String(), node.URL),
			}, "", "  ")
			c.Assert(err, qt.IsNil)
			file := filepath.Join("testdata", "commands", test.name+".json")
			if *update {
				c.Assert(os.WriteFile(file, append(got, '\n'), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			c.Assert(string(got)+"\n", qt.Equals, string(want))
		})
	}
}

// lines splits output into lines and replaces the fake node's address by URL.
func lines(text, url string) []string {
	text = strings.ReplaceAll(text, url, "URL")
	return strings.Split(strings.TrimRight(text, "\n"), "\n")
}
