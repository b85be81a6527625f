package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func put(sort, version, condition string) types.TransactWriteItem {
	write := &types.Put{
		TableName: aws.String(standin.TableName), ConditionExpression: aws.String(condition),
		Item: map[string]types.AttributeValue{
			"pk": &types.AttributeValueMemberS{Value: "p"}, "sk": &types.AttributeValueMemberS{Value: sort},
			"version": &types.AttributeValueMemberN{Value: version}, "body": &types.AttributeValueMemberB{Value: []byte("{}")},
		},
	}
	if strings.Contains(condition, ":expect") {
		write.ExpressionAttributeValues = map[string]types.AttributeValue{":expect": &types.AttributeValueMemberN{Value: "1"}}
	}
	return types.TransactWriteItem{Put: write}
}

func TestTableServerSpeaksToTheSDK(t *testing.T) {
	c := qt.New(t)
	site, err := standin.StartSite(standin.SiteConfig{})
	c.Assert(err, qt.IsNil)
	defer site.Close()
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(site.TableURL), Region: "local", RetryMaxAttempts: 1,
		Credentials: credentials.NewStaticCredentialsProvider("key", "secret", ""),
	})
	write := func(token string, items ...types.TransactWriteItem) error {
		_, err := client.TransactWriteItems(t.Context(), &dynamodb.TransactWriteItemsInput{
			ClientRequestToken: aws.String(token), TransactItems: items,
		})
		return err
	}
	c.Assert(write("1", put("a", "1", "attribute_not_exists(pk)")), qt.IsNil)
	c.Assert(write("1", put("a", "1", "attribute_not_exists(pk)")), qt.IsNil)
	err = write("2", put("b", "1", "attribute_not_exists(pk)"), put("a", "1", "attribute_not_exists(pk)"))
	var cancelled *types.TransactionCanceledException
	c.Assert(errors.As(err, &cancelled), qt.IsTrue)
	c.Assert(*cancelled.CancellationReasons[0].Code, qt.Equals, "None")
	c.Assert(*cancelled.CancellationReasons[1].Code, qt.Equals, "ConditionalCheckFailed")
	c.Assert(write("3", put("a", "2", "version = :expect")), qt.IsNil)

	found, err := client.Query(t.Context(), &dynamodb.QueryInput{
		TableName: aws.String(standin.TableName), KeyConditionExpression: aws.String("pk = :pk AND begins_with(sk, :sk)"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{Value: "p"}, ":sk": &types.AttributeValueMemberS{Value: "a"},
		},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(found.Items, qt.HasLen, 1)
	version, isNumber := found.Items[0]["version"].(*types.AttributeValueMemberN)
	c.Assert(isNumber, qt.IsTrue)
	c.Assert(version.Value, qt.Equals, "2")

	site.TableHTTP.SetFaults(standin.Faults{Throttle: 1})
	var throttled *types.ProvisionedThroughputExceededException
	c.Assert(errors.As(write("4", put("c", "1", "attribute_not_exists(pk)")), &throttled), qt.IsTrue)
	_, err = client.GetItem(t.Context(), &dynamodb.GetItemInput{
		TableName: aws.String("other"), Key: map[string]types.AttributeValue{"pk": &types.AttributeValueMemberS{Value: "p"}},
	})
	var missing *types.ResourceNotFoundException
	c.Assert(errors.As(err, &missing), qt.IsTrue)
}

func TestServiceCountsDoubleRuns(t *testing.T) {
	c := qt.New(t)
	ledger := standin.NewLedger()
	server, err := standin.Serve("127.0.0.1:0", standin.NewService(standin.ServiceConfig{Ledger: ledger}))
	c.Assert(err, qt.IsNil)
	defer server.Close()
	for _, body := range []string{"one", "two", "one"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address+"/orders/x", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		answer, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		_ = answer.Body.Close()
		c.Assert(answer.StatusCode, qt.Equals, http.StatusCreated)
	}
	c.Assert(ledger.Count(standin.DoubleRun), qt.Equals, 1)
}

func TestSiteListsItsServersAndDeploysItsModels(t *testing.T) {
	c := qt.New(t)
	config := standin.Both()
	config.ListLag = 0
	site, err := standin.StartSite(config)
	c.Assert(err, qt.IsNil)
	defer site.Close()
	change := site.Ticket(1, "test")
	c.Assert(change.Deployments, qt.HasLen, 200)
	c.Assert(change.Services, qt.HasLen, 2)
	tickets := config.Tickets(7, "test")
	c.Assert(tickets, qt.HasLen, 4)
	c.Assert(tickets[3].Number, qt.Equals, fleet.TicketNumber(10))
	adapters := 0
	for _, deployment := range change.Deployments {
		adapters += len(deployment.Adapters)
	}
	c.Assert(adapters, qt.Equals, 95+115)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, site.VMListURL+"/vms", nil)
	c.Assert(err, qt.IsNil)
	answer, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	var list vmlist.List
	c.Assert(json.NewDecoder(answer.Body).Decode(&list), qt.IsNil)
	c.Assert(list.VMs, qt.HasLen, 46)
}

func TestWeightStoreSharesItsBandwidth(t *testing.T) {
	for name, test := range map[string]struct {
		loads int
		want  time.Duration
	}{
		"full speed": {4, 4 * time.Second},
		"shared":     {8, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := standin.NewWeightStore(standin.WeightStoreConfig{FullSpeed: 4, Rate: 2 * fleet.GiB})
				begun := time.Now()
				c.Assert(standin.LoadAll(context.Background(), store, test.loads, 8*fleet.GiB), qt.IsTrue)
				took := time.Since(begun)
				c.Assert(took > test.want*9/10 && took < test.want*11/10, qt.IsTrue, qt.Commentf("%s", took))
			})
		})
	}
}
