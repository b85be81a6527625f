package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxDepth is the maximum nesting depth.
const maxDepth = 64

// Decode decodes one JSON value into the value that target points to. The error,
// if any, is a [FieldErrors] with every mistake; the target then holds the valid
// parts.
func Decode(data []byte, target any) error {
	var problems FieldErrors
	tree, err := parse(data, &problems)
	if err != nil {
		problems.Add("", "%s", err)
		return problems
	}
	d := decoder{problems: &problems}
	d.decodeValue("", tree, reflect.ValueOf(target).Elem())
	return problems.Err()
}

// object is a JSON object that keeps the order of its keys.
type object struct {
	keys   []string
	values map[string]any
}

// parse parses one JSON value into a tree of object, []any, string, json.Number,
// bool and nil. It adds repeated keys to problems and returns a syntax error with
// its position.
func parse(data []byte, problems *FieldErrors) (any, error) {
	reader := json.NewDecoder(bytes.NewReader(data))
	reader.UseNumber()
	tree, err := parseValue(reader, "", 0, problems)
	if err != nil {
		return nil, withPosition(data, reader.InputOffset(), err)
	}
	end := reader.InputOffset()
	if _, err := reader.Token(); !errors.Is(err, io.EOF) {
		return nil, withPosition(data, end, errors.New("text behind the end of the JSON value"))
	}
	return tree, nil
}

// withPosition adds the line and column of an offset, or of a [json.SyntaxError],
// to an error.
func withPosition(data []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	before := data[:min(int(offset), len(data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return errors.Errorf("line %d, column %d: %v", line, column, err)
}

func parseValue(reader *json.Decoder, path string, depth int, problems *FieldErrors) (any, error) {
	if depth > maxDepth {
		return nil, errors.Errorf("%s: nested deeper than %d", path, maxDepth)
	}
	token, err := reader.Token()
	if err != nil {
		return nil, errors.Wrap(err, "not valid JSON")
	}
	switch token {
	case json.Delim('{'):
		return parseObject(reader, path, depth, problems)
	case json.Delim('['):
		return parseArray(reader, path, depth, problems)
	}
	return token, nil
}

func parseObject(reader *json.Decoder, path string, depth int, problems *FieldErrors) (any, error) {
	found := object{values: make(map[string]any)}
	for reader.More() {
		token, err := reader.Token()
		if err != nil {
			return nil, errors.Wrap(err, "not valid JSON")
		}
		key, ok := token.(string)
		if !ok {
			return nil, errors.Errorf("not valid JSON: key %v", token)
		}
		value, err := parseValue(reader, Join(path, key), depth+1, problems)
		if err != nil {
			return nil, err
		}
		if _, repeated := found.values[key]; repeated {
			problems.Add(Join(path, key), "key is given twice")
			continue
		}
		found.keys = append(found.keys, key)
		found.values[key] = value
	}
	if _, err := reader.Token(); err != nil {
		return nil, errors.Wrap(err, "not valid JSON")
	}
	return found, nil
}

func parseArray(reader *json.Decoder, path string, depth int, problems *FieldErrors) (any, error) {
	found := []any{}
	for reader.More() {
		value, err := parseValue(reader, indexPath(path, len(found)), depth+1, problems)
		if err != nil {
			return nil, err
		}
		found = append(found, value)
	}
	if _, err := reader.Token(); err != nil {
		return nil, errors.Wrap(err, "not valid JSON")
	}
	return found, nil
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// decoder stores a parsed tree in Go values and collects the mistakes.
type decoder struct {
	problems *FieldErrors
}

func (d decoder) decodeValue(path string, tree any, into reflect.Value) {
	if into.Kind() == reflect.Pointer {
		if tree == nil {
			return
		}
		into.Set(reflect.New(into.Type().Elem()))
		d.decodeValue(path, tree, into.Elem())
		return
	}
	if text, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, tree, text)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, tree, into)
	case reflect.Map:
		d.decodeMap(path, tree, into)
	case reflect.Slice:
		d.decodeSlice(path, tree, into)
	default:
		d.decodeScalar(path, tree, into)
	}
}

func (d decoder) decodeText(path string, tree any, into encoding.TextUnmarshaler) {
	written, ok := tree.(string)
	if !ok {
		d.problems.Add(path, "want a string, found %s", describe(tree))
		return
	}
	if err := into.UnmarshalText([]byte(written)); err != nil {
		d.problems.Add(path, "%s", err)
	}
}

func (d decoder) decodeStruct(path string, tree any, into reflect.Value) {
	written, ok := tree.(object)
	if !ok {
		d.problems.Add(path, "want an object, found %s", describe(tree))
		return
	}
	fields := make(map[string]reflect.Value)
	collectFields(into, fields)
	for _, key := range written.keys {
		field, known := fields[key]
		if !known {
			d.problems.Add(Join(path, key), "unknown field, known are %s", listKeys(fields))
			continue
		}
		d.decodeValue(Join(path, key), written.values[key], field)
	}
}

// collectFields adds the fields of a struct to a map, by their JSON names. The
// fields of embedded structs without a tag count as fields of the outer struct.
func collectFields(into reflect.Value, fields map[string]reflect.Value) {
	for i := range into.NumField() {
		field := into.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous && name == "" && field.Type.Kind() == reflect.Struct:
			collectFields(into.Field(i), fields)
		case name != "" && name != "-" && field.IsExported():
			fields[name] = into.Field(i)
		}
	}
}

func listKeys(fields map[string]reflect.Value) string {
	return strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
}

func (d decoder) decodeMap(path string, tree any, into reflect.Value) {
	written, ok := tree.(object)
	if !ok {
		d.problems.Add(path, "want an object, found %s", describe(tree))
		return
	}
	into.Set(reflect.MakeMapWithSize(into.Type(), len(written.keys)))
	for _, key := range written.keys {
		element := reflect.New(into.Type().Elem()).Elem()
		d.decodeValue(Join(path, key), written.values[key], element)
		into.SetMapIndex(reflect.ValueOf(key).Convert(into.Type().Key()), element)
	}
}

func (d decoder) decodeSlice(path string, tree any, into reflect.Value) {
	written, ok := tree.([]any)
	if !ok {
		d.problems.Add(path, "want an array, found %s", describe(tree))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(written), len(written)))
	for i, value := range written {
		d.decodeValue(indexPath(path, i), value, into.Index(i))
	}
}

func (d decoder) decodeScalar(path string, tree any, into reflect.Value) {
	switch written := tree.(type) {
	case string:
		if into.Kind() == reflect.String {
			into.SetString(written)
			return
		}
	case bool:
		if into.Kind() == reflect.Bool {
			into.SetBool(written)
			return
		}
	case json.Number:
		if isNumber(into.Kind()) {
			d.decodeNumber(path, written, into)
			return
		}
	}
	d.problems.Add(path, "want %s, found %s", kindName(into.Kind()), describe(tree))
}

func (d decoder) decodeNumber(path string, written json.Number, into reflect.Value) {
	switch {
	case into.CanInt():
		number, err := strconv.ParseInt(written.String(), 10, into.Type().Bits())
		if err != nil {
			d.problems.Add(path, "want a whole number of %d bits, found %s", into.Type().Bits(), written)
			return
		}
		into.SetInt(number)
	case into.CanUint():
		number, err := strconv.ParseUint(written.String(), 10, into.Type().Bits())
		if err != nil {
			d.problems.Add(path, "want a whole number from 0, found %s", written)
			return
		}
		into.SetUint(number)
	default:
		number, err := written.Float64()
		if err != nil || math.IsInf(number, 0) {
			d.problems.Add(path, "want a number, found %s", written)
			return
		}
		into.SetFloat(number)
	}
}

func isNumber(kind reflect.Kind) bool {
	return kind >= reflect.Int && kind <= reflect.Uint64 || kind == reflect.Float32 || kind == reflect.Float64
}

func kindName(kind reflect.Kind) string {
	switch {
	case kind == reflect.String:
		return "a string"
	case kind == reflect.Bool:
		return "true or false"
	case isNumber(kind):
		return "a number"
	default:
		return kind.String()
	}
}

func describe(tree any) string {
	switch tree := tree.(type) {
	case nil:
		return "null"
	case object:
		return "an object"
	case []any:
		return "an array"
	case string:
		return strconv.Quote(tree)
	default:
		return fmt.Sprint(tree)
	}
}
