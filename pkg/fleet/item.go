package fleet

import "strings"

// adapterSeparator separates model and adapter in an item's text form.
const adapterSeparator = ":"

// Item is what an engine can hold and a caller can request: a base model, or
// one adapter on a base model, for which Adapter is not empty.
type Item struct {
	Model   ModelID   `json:"model"`
	Adapter AdapterID `json:"adapter,omitempty"`
}

// ParseItem parses the model name of a request, "model" or "model:adapter". It
// splits at the first colon and accepts any text.
func ParseItem(name string) Item {
	model, adapter, _ := strings.Cut(name, adapterSeparator)
	return Item{Model: ModelID(model), Adapter: AdapterID(adapter)}
}

// String returns the item in the form that [ParseItem] parses.
func (i Item) String() string {
	if i.Adapter == "" {
		return string(i.Model)
	}
	return string(i.Model) + adapterSeparator + string(i.Adapter)
}

// IsAdapter reports whether the item is an adapter on a base model.
func (i Item) IsAdapter() bool { return i.Adapter != "" }

// Base returns the item's base model, without an adapter.
func (i Item) Base() Item { return Item{Model: i.Model} }
