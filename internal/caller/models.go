package caller

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// model is an item in the format of the OpenAI API.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the list of all items in the format of the OpenAI API.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

const ownedBy = "guavatrack"

func newModel(item fleet.Item) model {
	return model{ID: item.String(), Object: "model", OwnedBy: ownedBy}
}

// newModelList lists every item of a snapshot, sorted by name.
func newModelList(snapshot *ticket.Snapshot) modelList {
	list := modelList{Object: "list", Data: []model{}}
	for id, deployment := range snapshot.Deployments {
		list.Data = append(list.Data, newModel(fleet.Item{Model: id}))
		for adapter := range deployment.Adapters {
			list.Data = append(list.Data, newModel(fleet.Item{Model: id, Adapter: adapter}))
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (s *Server) listModels(call *Call) error {
	return writeJSON(call, http.StatusOK, newModelList(call.Snapshot))
}

func (s *Server) getModel(call *Call) error {
	name, err := url.PathUnescape(mux.Vars(call.Request)["model"])
	if err != nil {
		return refusal.New(refusal.Malformed, "the model's name is not escaped correctly")
	}
	item := fleet.ParseItem(name)
	if !call.Snapshot.Serves(item) {
		return refusal.New(refusal.UnknownModel, "model "+strconv.Quote(name)+" is not served here")
	}
	return writeJSON(call, http.StatusOK, newModel(item))
}

func writeJSON(call *Call, status int, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	call.Response.Header().Set("Content-Type", jsonType)
	return writeBody(call, status, body)
}

// writeBody sends an answer whose body is complete.
func writeBody(call *Call, status int, body []byte) error {
	call.MarkAnswerStarted()
	call.Response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	call.Response.WriteHeader(status)
	err := call.write(body)
	if err == nil {
		err = call.flush()
	}
	if err != nil {
		return errors.Wrap(err, "write answer")
	}
	return nil
}
