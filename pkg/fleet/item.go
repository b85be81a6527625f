package fleet

import "strings"

// adapterSeparator stands between model and adapter in an item's text form.
const adapterSeparator = ":"

// Item is what an engine can hold and a caller can ask for: a base model, or
// one adapter on a base model.
type Item struct {
	Model   ModelID   `json:"model"`
	Adapter AdapterID `json:"adapter,omitempty"`
}

// ParseItem reads the name that a caller gives as the model of a request:
// "model" or "model:adapter".
func ParseItem(name string) Item {
	model, adapter, _ := strings.Cut(name, adapterSeparator)
	return Item{Model: ModelID(model), Adapter: AdapterID(adapter)}
}

// String returns the name that [ParseItem] reads.
func (i Item) String() string {
	if i.Adapter == "" {
		return string(i.Model)
	}
	return string(i.Model) + adapterSeparator + string(i.Adapter)
}

// IsAdapter reports whether the item is an adapter on a base model.
func (i Item) IsAdapter() bool { return i.Adapter != "" }

// Base returns the base model of the item.
func (i Item) Base() Item { return Item{Model: i.Model} }
