// Package dynamo implements [table.Store] over the DynamoDB protocol.
//
// A record is an item with the attributes pk (S), sk (S), version (N) and
// body (B). Conditions are on the version alone: attribute_not_exists(pk) for a
// record that must be absent, version = :expect otherwise. Reads are
// consistent. The library's own retries are off, since a retry after a lost
// answer has to be decided by whoever knows the token.
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

// Names of the attributes of an item and of the value in conditions.
const (
	partitionAttribute = "pk"
	sortAttribute      = "sk"
	versionAttribute   = "version"
	bodyAttribute      = "body"
	expectValue        = ":expect"
)

// defaultLimit is the number of records that a query without a limit returns
// at most.
const defaultLimit = 1000

// Store is a table in a service that speaks the DynamoDB protocol. Its fields
// are set before first use.
type Store struct {
	// Endpoint is the URL of the service; empty means that of the region.
	Endpoint string
	Region   string
	Table    string
	// Credentials sign the requests.
	Credentials aws.CredentialsProvider
	// HTTP makes the requests; nil means the library's own client.
	HTTP *http.Client

	client *dynamodb.Client
}

var _ table.Store = (*Store)(nil)

// New returns a store with its client. The fields of the argument are copied.
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
	answer, err := s.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(s.Table),
		Key:            primaryKey(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return table.Record{}, readError(err)
	}
	if len(answer.Item) == 0 {
		return table.Record{}, table.ErrNotFound
	}
	return decode(answer.Item)
}

// Query implements [table.Store].
func (s *Store) Query(ctx context.Context, span table.Range) (records []table.Record, err error) {
	defer annotate(&err, "query", table.Key{Partition: span.Partition, Sort: span.Prefix})
	limit := span.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	input := s.queryInput(span)
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

// queryInput selects the range. The start key need not exist, so a range that
// starts after a sort key needs no condition of its own.
func (s *Store) queryInput(span table.Range) *dynamodb.QueryInput {
	input := &dynamodb.QueryInput{
		TableName:              aws.String(s.Table),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{Value: span.Partition},
		},
	}
	if span.Prefix != "" {
		input.KeyConditionExpression = aws.String("pk = :pk AND begins_with(sk, :prefix)")
		input.ExpressionAttributeValues[":prefix"] = &types.AttributeValueMemberS{Value: span.Prefix}
	}
	if span.After != "" {
		input.ExclusiveStartKey = primaryKey(table.Key{Partition: span.Partition, Sort: span.After})
	}
	return input
}

// Transact implements [table.Store].
func (s *Store) Transact(ctx context.Context, token table.Token, writes []table.Write) (err error) {
	if len(writes) == 0 {
		return nil
	}
	defer annotate(&err, "transact", writes[0].Key)
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
	condition, values := condition(write.Expect)
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

// condition requires a version.
func condition(expect table.Version) (*string, map[string]types.AttributeValue) {
	if expect == table.Absent {
		return aws.String("attribute_not_exists(pk)"), nil
	}
	return aws.String("version = " + expectValue), map[string]types.AttributeValue{
		expectValue: number(expect),
	}
}

func primaryKey(key table.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		partitionAttribute: &types.AttributeValueMemberS{Value: key.Partition},
		sortAttribute:      &types.AttributeValueMemberS{Value: key.Sort},
	}
}

func number(version table.Version) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(version), 10)}
}

func encode(write table.Write) map[string]types.AttributeValue {
	item := primaryKey(write.Key)
	item[versionAttribute] = number(write.Expect + 1)
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
	count, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return table.Record{}, errors.Wrap(err, "version")
	}
	return table.Record{
		Key:     table.Key{Partition: partition.Value, Sort: sort.Value},
		Version: table.Version(count),
		Body:    body.Value,
	}, nil
}

func annotate(err *error, call string, key table.Key) {
	if *err != nil {
		*err = errors.Wrapf(*err, "table %s %s/%s", call, key.Partition, key.Sort)
	}
}
