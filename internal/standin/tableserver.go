package standin

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/guavatrack/guavatrack/internal/table"
)

// Attributes of a record in the table service.
const (
	partitionAttribute = "pk"
	sortAttribute      = "sk"
	versionAttribute   = "version"
	bodyAttribute      = "body"
)

// TableName is the name of the table that a [TableServer] serves.
const TableName = "guavatrack"

// TableServer serves a [Table] as DynamoDB JSON 1.0: TransactWriteItems,
// GetItem and Query over the attributes pk (S), sk (S), version (N) and
// body (B). A condition is either attribute_not_exists(pk) or version = :name.
// A Put must set the version that follows the expected one.
type TableServer struct {
	table  *Table
	gate   gate
	router *mux.Router
}

// NewTableServer returns a server for the table.
func NewTableServer(served *Table) *TableServer {
	s := &TableServer{table: served, router: mux.NewRouter()}
	s.gate.throttled = func(w http.ResponseWriter, _ *http.Request) {
		writeTableError(w, http.StatusBadRequest, tableError{
			Type: "ProvisionedThroughputExceededException", Message: "throttled",
		})
	}
	post := s.router.Methods(http.MethodPost).Subrouter()
	post.HandleFunc(faultPath, s.gate.handleFault)
	post.HandleFunc("/", s.handle)
	return s
}

// SetFaults replaces the faults of the HTTP side. Those of the [Table] apply
// besides.
func (s *TableServer) SetFaults(faults Faults) { s.gate.SetFaults(faults) }

// ServeHTTP implements [http.Handler].
func (s *TableServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.gate.serve(w, r, s.router)
}

type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
	B []byte `json:"B,omitempty"`
}

type attributes map[string]attribute

func (a attributes) key() table.Key {
	return table.Key{Partition: a[partitionAttribute].S, Sort: a[sortAttribute].S}
}

type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

type tableError struct {
	Type                string               `json:"__type"`
	Message             string               `json:"message"`
	CancellationReasons []cancellationReason `json:",omitempty"`
}

func (e tableError) Error() string { return e.Type + ": " + e.Message }

func invalid(format string, args ...any) tableError {
	return tableError{Type: "ValidationException", Message: errors.Errorf(format, args...).Error()}
}

const tableErrorPrefix = "com.amazonaws.dynamodb.v20120810#"

func writeTableError(w http.ResponseWriter, status int, failure tableError) {
	failure.Type = tableErrorPrefix + failure.Type
	w.Header().Set("X-Amzn-ErrorType", failure.Type)
	writeTable(w, status, failure)
}

func writeTable(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *TableServer) handle(w http.ResponseWriter, r *http.Request) {
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	var answer any
	var err error
	switch operation {
	case "GetItem":
		answer, err = s.get(r)
	case "Query":
		answer, err = s.query(r)
	case "TransactWriteItems":
		answer, err = s.transact(r)
	default:
		err = tableError{Type: "UnknownOperationException", Message: operation}
	}
	var failure tableError
	switch {
	case err == nil:
		writeTable(w, http.StatusOK, answer)
	case errors.As(err, &failure):
		writeTableError(w, http.StatusBadRequest, failure)
	case errors.Is(err, table.ErrUnavailable):
		writeTableError(w, http.StatusServiceUnavailable, tableError{Type: "ServiceUnavailable", Message: err.Error()})
	default:
		// The answer is lost: the effect may or may not have happened.
		panic(http.ErrAbortHandler)
	}
}

func decodeTable(r *http.Request, into any) error {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		return tableError{Type: "SerializationException", Message: err.Error()}
	}
	return nil
}

func checkTable(name string) error {
	if name != TableName {
		return tableError{Type: "ResourceNotFoundException", Message: "table not found: " + name}
	}
	return nil
}

func encodeRecord(record table.Record) attributes {
	return attributes{
		partitionAttribute: {S: record.Key.Partition},
		sortAttribute:      {S: record.Key.Sort},
		versionAttribute:   {N: strconv.FormatUint(uint64(record.Version), 10)},
		bodyAttribute:      {B: record.Body},
	}
}

type getAnswer struct {
	Item attributes `json:",omitempty"`
}

func (s *TableServer) get(r *http.Request) (any, error) {
	var request struct {
		TableName string
		Key       attributes
	}
	if err := errors.Join(decodeTable(r, &request), checkTable(request.TableName)); err != nil {
		return nil, err
	}
	record, err := s.table.Get(r.Context(), request.Key.key())
	if errors.Is(err, table.ErrNotFound) {
		return getAnswer{}, nil
	}
	return getAnswer{encodeRecord(record)}, err
}

// keyCondition matches pk = :p, alone or with begins_with(sk, :s) or sk > :s.
var keyCondition = regexp.MustCompile(
	`^\(?pk\s*=\s*(:\w+)\)?(?:\s+AND\s+\(?(?:begins_with\s*\(\s*sk\s*,\s*(:\w+)\s*\)|sk\s*>\s*(:\w+))\)?)?$`)

type queryAnswer struct {
	Items            []attributes
	Count            int
	ScannedCount     int
	LastEvaluatedKey attributes `json:",omitempty"`
}

func (s *TableServer) query(r *http.Request) (any, error) {
	var request struct {
		TableName                 string
		KeyConditionExpression    string
		ExpressionAttributeNames  map[string]string
		ExpressionAttributeValues attributes
		ExclusiveStartKey         attributes
		Limit                     int
	}
	if err := errors.Join(decodeTable(r, &request), checkTable(request.TableName)); err != nil {
		return nil, err
	}
	expression := substitute(request.KeyConditionExpression, request.ExpressionAttributeNames)
	parts := keyCondition.FindStringSubmatch(expression)
	if parts == nil {
		return nil, invalid("key condition %q", expression)
	}
	values := request.ExpressionAttributeValues
	span := table.Range{
		Partition: values[parts[1]].S, Prefix: values[parts[2]].S, After: values[parts[3]].S, Limit: request.Limit,
	}
	if start := request.ExclusiveStartKey.key().Sort; start != "" {
		span.After = start
	}
	records, err := s.table.Query(r.Context(), span)
	if err != nil {
		return nil, err
	}
	answer := queryAnswer{Items: make([]attributes, 0, len(records)), Count: len(records), ScannedCount: len(records)}
	for _, record := range records {
		answer.Items = append(answer.Items, encodeRecord(record))
	}
	if !span.IsLast(len(records)) {
		last := encodeRecord(records[len(records)-1])
		answer.LastEvaluatedKey = attributes{
			partitionAttribute: last[partitionAttribute], sortAttribute: last[sortAttribute],
		}
	}
	return answer, nil
}

// tableWrite is a Put, Delete or ConditionCheck of a transaction.
type tableWrite struct {
	TableName                 string
	Item                      attributes
	Key                       attributes
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
}

type transactItem struct {
	Put, Delete, ConditionCheck *tableWrite
}

func (s *TableServer) transact(r *http.Request) (any, error) {
	var request struct {
		ClientRequestToken string
		TransactItems      []transactItem
	}
	if err := decodeTable(r, &request); err != nil {
		return nil, err
	}
	if len(request.TransactItems) > maxWrites {
		return nil, invalid("%d writes, at most %d", len(request.TransactItems), maxWrites)
	}
	writes := make([]table.Write, 0, len(request.TransactItems))
	for _, item := range request.TransactItems {
		write, err := item.decode()
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	err := s.table.Transact(r.Context(), table.Token(request.ClientRequestToken), writes)
	var conflict *conflictError
	if !errors.As(err, &conflict) {
		return struct{}{}, err
	}
	failure := tableError{Type: "TransactionCanceledException", Message: "Transaction cancelled, please refer cancellation reasons for specific reasons"}
	for i := range writes {
		reason := cancellationReason{Code: "None"}
		if conflict.failed[i] {
			reason = cancellationReason{"ConditionalCheckFailed", "The conditional request failed"}
		}
		failure.CancellationReasons = append(failure.CancellationReasons, reason)
	}
	return nil, failure
}

func (t transactItem) decode() (table.Write, error) {
	part := t.Put
	switch {
	case t.Delete != nil:
		part = t.Delete
	case t.ConditionCheck != nil:
		part = t.ConditionCheck
	case t.Put == nil:
		return table.Write{}, invalid("neither Put nor Delete nor ConditionCheck")
	}
	if err := checkTable(part.TableName); err != nil {
		return table.Write{}, err
	}
	expect, err := part.expected()
	if err != nil {
		return table.Write{}, err
	}
	write := table.Write{Key: part.Key.key(), Expect: expect, CheckOnly: t.ConditionCheck != nil}
	if t.Put == nil {
		return write, nil
	}
	write.Key = part.Item.key()
	write.Body = part.Item[bodyAttribute].B
	if write.Body == nil {
		write.Body = []byte{}
	}
	if want := strconv.FormatUint(uint64(expect)+1, 10); part.Item[versionAttribute].N != want {
		return write, invalid("version %q of %v, expected %s", part.Item[versionAttribute].N, write.Key, want)
	}
	return write, nil
}

// versionCondition matches version = :name.
var versionCondition = regexp.MustCompile(`^\(?version\s*=\s*(:\w+)\)?$`)

// expected returns the version that the condition asks for.
func (w *tableWrite) expected() (table.Version, error) {
	expression := substitute(w.ConditionExpression, w.ExpressionAttributeNames)
	if strings.Trim(strings.ReplaceAll(expression, " ", ""), "()") == "attribute_not_exists(pk" {
		return table.Absent, nil
	}
	parts := versionCondition.FindStringSubmatch(expression)
	if parts == nil {
		return 0, invalid("condition %q", expression)
	}
	number, err := strconv.ParseUint(w.ExpressionAttributeValues[parts[1]].N, 10, 64)
	if err != nil || number == 0 {
		return 0, invalid("version %q in a condition", w.ExpressionAttributeValues[parts[1]].N)
	}
	return table.Version(number), nil
}

// substitute replaces the attribute name placeholders of an expression.
func substitute(expression string, names map[string]string) string {
	for placeholder, name := range names {
		expression = strings.ReplaceAll(expression, placeholder, name)
	}
	return strings.TrimSpace(expression)
}
