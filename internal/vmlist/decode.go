package vmlist

import (
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// wireList is a list whose VMs are decoded one by one.
type wireList struct {
	AsOf time.Time         `json:"asOf"`
	VMs  []json.RawMessage `json:"vms"`
}

// decode decodes a list. A VM that can't be decoded is left out.
func decode(text io.Reader) (list List, err error) {
	var wire wireList
	if err := json.NewDecoder(text).Decode(&wire); err != nil {
		return List{}, errors.Wrap(err, "answer")
	}
	list = List{AsOf: wire.AsOf, VMs: make([]VM, 0, len(wire.VMs))}
	for i, text := range wire.VMs {
		vm, err := decodeVM(text)
		if err != nil {
			list.Unreadable = append(list.Unreadable, errors.Wrapf(err, "vms[%d]", i))
			continue
		}
		list.VMs = append(list.VMs, vm)
	}
	return list, nil
}

// decodeVM decodes and checks a VM.
func decodeVM(text json.RawMessage) (vm VM, err error) {
	if err := json.Unmarshal(text, &vm); err != nil {
		return VM{}, err
	}
	if vm.ID == "" {
		return VM{}, errors.New("id: missing")
	}
	if vm.Accelerators < 0 {
		return VM{}, errors.Errorf("accelerators: must not be below 0, found %d", vm.Accelerators)
	}
	if vm.Address != "" && !isServerAddress(vm.Address) {
		return VM{}, errors.Errorf("address: must be the address of one machine and a port, found %.100q", vm.Address)
	}
	return vm, nil
}

// isServerAddress reports whether a server can have an address: no port that there is none
// of, and no IP address that means this machine or several.
func isServerAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return true // a name alone
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err != nil || !ip.Unmap().IsUnspecified() && !ip.Unmap().IsMulticast()
}
