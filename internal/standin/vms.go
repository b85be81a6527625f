package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// VMList is a stand-in for the platform's list of VMs. It answers GET /vms
// with the list as it was Lag ago.
type VMList struct {
	gate   gate
	router *mux.Router

	mu      sync.Mutex
	lag     time.Duration
	current []vmlist.VM
	history []vmlist.List
}

// NewVMList returns a list without VMs that lags by the span.
func NewVMList(lag time.Duration) *VMList {
	l := &VMList{lag: lag, gate: gate{throttled: tooManyRequests}, router: mux.NewRouter()}
	l.router.Methods(http.MethodPost).Path(faultPath).HandlerFunc(l.gate.handleFault)
	l.router.Methods(http.MethodGet).Path("/vms").HandlerFunc(l.handleList)
	return l
}

// SetFaults replaces the faults.
func (l *VMList) SetFaults(faults Faults) { l.gate.SetFaults(faults) }

// ServeHTTP implements [http.Handler].
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.gate.serve(w, r, l.router) }

// Put adds a VM or replaces the one with the same id.
func (l *VMList) Put(vms ...vmlist.VM) {
	l.change(func(list []vmlist.VM) []vmlist.VM {
		for _, vm := range vms {
			list = slices.DeleteFunc(list, func(other vmlist.VM) bool { return other.ID == vm.ID })
			list = append(list, vm)
		}
		return list
	})
}

// Leave marks a VM as leaving.
func (l *VMList) Leave(id fleet.ServerID, at time.Time) {
	l.change(func(list []vmlist.VM) []vmlist.VM {
		for i := range list {
			if list[i].ID == id {
				list[i].State, list[i].ReclaimAt = vmlist.Leaving, at
			}
		}
		return list
	})
}

// Remove takes a VM off the list.
func (l *VMList) Remove(id fleet.ServerID) {
	l.change(func(list []vmlist.VM) []vmlist.VM {
		return slices.DeleteFunc(list, func(vm vmlist.VM) bool { return vm.ID == id })
	})
}

func (l *VMList) change(edit func([]vmlist.VM) []vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = edit(slices.Clone(l.current))
	l.history = append(l.history, vmlist.List{AsOf: time.Now(), VMs: l.current})
}

func (l *VMList) handleList(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	list := vmlist.List{VMs: []vmlist.VM{}}
	asOf := time.Now().Add(-l.lag)
	for i, old := range l.history {
		if i == 0 || !old.AsOf.After(asOf) {
			list = old
		}
	}
	l.mu.Unlock()
	list.AsOf = asOf
	writeJSON(w, http.StatusOK, list)
}
