// Package dynamo implements [table.Store] over the DynamoDB protocol.
//
// A record is an item with the attributes pk (S), sk (S), version (N) and
// body (B). Conditions test the version only: attribute_not_exists(pk) for a
// record that must be absent, version = :expect otherwise. Reads are strongly
// consistent. The SDK's own retries are off, because after a lost response only
// the caller of [Store.Transact], which has the token, can decide whether to
// retry.
package dynamo

import (
	"context"
	"net/http"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
)

// Names of the attributes of an item and of the placeholder for the expected
// version in conditions.
const (
	partitionAttribute = "pk"
	sortAttribute      = "sk"
	versionAttribute   = "version"
	bodyAttribute      = "body"
	expectValue        = ":expect"
)

// Store is a table in a service that implements the DynamoDB protocol. Set its
// fields before passing it to [New].
type Store struct {
	// Endpoint is the URL of the service; empty means the AWS endpoint of the
	// region.
	Endpoint string
	Region   string
	Table    string
	// Credentials sign the requests.
	Credentials aws.CredentialsProvider
	// HTTP makes the requests; nil means the SDK's own client.
	HTTP *http.Client

	client *dynamodb.Client
}

var _ table.Store = (*Store)(nil)

// New returns a store with the settings' fields and a client made from them.
func New(settings Store) *Store {
	s := &settings
	options := dynamodb.Options{
		Region:      s.Region,
		Credentials: s.Credentials,
		Retryer:     aws.NopRetryer{},
	}
	if s.Endpoint != "" {
		options.BaseEndpoint = aws.String(s.Endpoint)
	}
	if s.HTTP != nil {
		options.HTTPClient = s.HTTP
	}
	s.client = dynamodb.New(options)
	return s
}

// Get implements [table.Store].
func (s *Store) Get(ctx context.Context, key table.Key) (record table.Record, err error) {
	defer annotate(&err, "get", key)
	response, err := s.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(s.Table),
		Key:            primaryKey(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return table.Record{}, readError(err)
	}
	if len(response.Item) == 0 {
		return table.Record{}, table.ErrNotFound
	}
	return decode(response.Item)
}

// Query implements [table.Store].
func (s *Store) Query(ctx context.Context, keyRange table.Range) (records []table.Record, err error) {
	defer annotate(&err, "query", table.Key{Partition: keyRange.Partition, Sort: keyRange.Prefix})
	limit := keyRange.MaxRecords()
	input := s.queryInput(keyRange)
	for len(records) < limit {
		input.Limit = aws.Int32(int32(limit - len(records)))
		page, err := s.client.Query(ctx, input)
		if err != nil {
			return nil, readError(err)
		}
		for _, item := range page.Items {
			record, err := decode(item)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
		if len(page.LastEvaluatedKey) == 0 {
			break
		}
		input.ExclusiveStartKey = page.LastEvaluatedKey
	}
	return records, nil
}

// queryInput returns the query for a range. DynamoDB accepts an exclusive start
// key that does not exist, so a range that starts after a sort key needs no
// further condition.
func (s *Store) queryInput(keyRange table.Range) *dynamodb.QueryInput {
	input := &dynamodb.QueryInput{
		TableName:              aws.String(s.Table),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{Value: keyRange.Partition},
		},
	}
	if keyRange.Prefix != "" {
		input.KeyConditionExpression = aws.String("pk = :pk AND begins_with(sk, :prefix)")
		input.ExpressionAttributeValues[":prefix"] = &types.AttributeValueMemberS{Value: keyRange.Prefix}
	}
	if keyRange.After != "" {
		input.ExclusiveStartKey = primaryKey(table.Key{Partition: keyRange.Partition, Sort: keyRange.After})
	}
	return input
}

// Bounds of one transaction of the service.
const (
	maxTransactItems = 100
	maxTransactBytes = 4 << 20
	// maxItemOverhead is more than an item takes beside its key and body, in bytes.
	maxItemOverhead = 200
)

// Fit implements [table.Store].
func (s *Store) Fit(writes []table.Write) int {
	size := 0
	for i, write := range writes[:min(len(writes), maxTransactItems)] {
		size += maxItemOverhead + len(write.Key.Partition) + len(write.Key.Sort) + len(write.Body)
		if size > maxTransactBytes {
			return i
		}
	}
	return min(len(writes), maxTransactItems)
}

// Transact implements [table.Store].
func (s *Store) Transact(ctx context.Context, token table.Token, writes []table.Write) (err error) {
	if len(writes) == 0 {
		return nil
	}
	defer annotate(&err, "transact", writes[0].Key)
	if fit := s.Fit(writes); fit < len(writes) {
		return errors.Wrapf(table.ErrRejected, "transaction of %d writes, of which %d fit", len(writes), fit)
	}
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, write := range writes {
		items = append(items, s.writeItem(write))
	}
	input := &dynamodb.TransactWriteItemsInput{TransactItems: items}
	if token != "" {
		input.ClientRequestToken = aws.String(string(token))
	}
	if _, err := s.client.TransactWriteItems(ctx, input); err != nil {
		return writeError(err)
	}
	return nil
}

func (s *Store) writeItem(write table.Write) types.TransactWriteItem {
	name := aws.String(s.Table)
	condition, values := versionCondition(write.Expect)
	switch {
	case write.CheckOnly:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: name, Key: primaryKey(write.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case write.Body == nil:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: name, Key: primaryKey(write.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	default:
		return types.TransactWriteItem{Put: &types.Put{
			TableName: name, Item: encode(write),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	}
}

// versionCondition returns the condition expression that the record has the
// expected version, and the values in it.
func versionCondition(expect table.Version) (*string, map[string]types.AttributeValue) {
	if expect == table.Absent {
		return aws.String("attribute_not_exists(pk)"), nil
	}
	return aws.String("version = " + expectValue), map[string]types.AttributeValue{
		expectValue: versionValue(expect),
	}
}

func primaryKey(key table.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		partitionAttribute: &types.AttributeValueMemberS{Value: key.Partition},
		sortAttribute:      &types.AttributeValueMemberS{Value: key.Sort},
	}
}

func versionValue(version table.Version) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(version), 10)}
}

func encode(write table.Write) map[string]types.AttributeValue {
	item := primaryKey(write.Key)
	item[versionAttribute] = versionValue(write.Expect + 1)
	item[bodyAttribute] = &types.AttributeValueMemberB{Value: write.Body}
	return item
}

func decode(item map[string]types.AttributeValue) (record table.Record, err error) {
	partition, partitionOK := item[partitionAttribute].(*types.AttributeValueMemberS)
	sort, sortOK := item[sortAttribute].(*types.AttributeValueMemberS)
	version, versionOK := item[versionAttribute].(*types.AttributeValueMemberN)
	body, bodyOK := item[bodyAttribute].(*types.AttributeValueMemberB)
	if !partitionOK || !sortOK || !versionOK || !bodyOK {
		return table.Record{}, errors.New("item without pk, sk, version or body of the right type")
	}
	parsedVersion, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return table.Record{}, errors.Wrap(err, "version")
	}
	return table.Record{
		Key:     table.Key{Partition: partition.Value, Sort: sort.Value},
		Version: table.Version(parsedVersion),
		Body:    body.Value,
	}, nil
}

// annotate adds the operation and the key to an error.
func annotate(err *error, call string, key table.Key) {
	if *err != nil {
		*err = errors.Wrapf(*err, "table %s %s/%s", call, key.Partition, key.Sort)
	}
}
