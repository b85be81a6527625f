package dynamo

import (
	"fmt"
	"net"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	smithyhttp "github.com/aws/smithy-go/transport/http"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
)

// conditionReason is the cancellation reason of a condition that did not hold.
const conditionReason = "ConditionalCheckFailed"

// conflictReason is the cancellation reason of a concurrent transaction on the
// same item. Nothing was written.
const conflictReason = "TransactionConflict"

// readError maps the error of a read. A read has no effect, so whatever went
// wrong, the service gave no answer to rely on.
func readError(err error) error {
	return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
}

// writeError maps the error of a transaction. An error that is not known to
// leave the table unchanged counts as a lost answer.
func writeError(err error) error {
	return fmt.Errorf("%w: %w", writeOutcome(err), err)
}

func writeOutcome(err error) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return cancellationOutcome(canceled)
	}
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return table.ErrUnknown
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return table.ErrUnavailable
	}
	var answer *smithyhttp.ResponseError
	if errors.As(err, &answer) && answer.HTTPStatusCode() >= http.StatusBadRequest &&
		answer.HTTPStatusCode() < http.StatusInternalServerError {
		return table.ErrUnavailable
	}
	return table.ErrUnknown
}

// cancellationOutcome tells a failed condition from a lack of capacity. Both
// leave the table as it was.
func cancellationOutcome(canceled *types.TransactionCanceledException) error {
	for _, reason := range canceled.CancellationReasons {
		if reason.Code != nil && (*reason.Code == conditionReason || *reason.Code == conflictReason) {
			return table.ErrConflict
		}
	}
	return table.ErrUnavailable
}
