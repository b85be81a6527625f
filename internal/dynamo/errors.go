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

// conditionFailedReason is the cancellation reason of a condition that is not
// met.
const conditionFailedReason = "ConditionalCheckFailed"

// transactionConflictReason is the cancellation reason of a concurrent
// transaction on the same item. Nothing was written.
const transactionConflictReason = "TransactionConflict"

// readError wraps every error of a read in [table.ErrUnavailable]: a read has no
// effect, so any failure only means that the service gave no reliable answer.
func readError(err error) error {
	return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
}

// writeError wraps the error of a transaction in the table error for its outcome.
// Unless the table is known to be unchanged, that is [table.ErrOutcomeUnknown], as for a
// lost response.
func writeError(err error) error {
	return fmt.Errorf("%w: %w", writeOutcome(err), err)
}

// writeOutcome returns the table error for the error of a transaction.
func writeOutcome(err error) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return cancellationOutcome(canceled)
	}
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return table.ErrOutcomeUnknown
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return table.ErrUnavailable
	}
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) && response.HTTPStatusCode() >= http.StatusBadRequest &&
		response.HTTPStatusCode() < http.StatusInternalServerError {
		return table.ErrUnavailable
	}
	return table.ErrOutcomeUnknown
}

// cancellationOutcome returns [table.ErrConflict] for a failed condition or a
// concurrent transaction, and [table.ErrUnavailable] for other reasons such as a
// lack of capacity. All of them leave the table unchanged.
func cancellationOutcome(canceled *types.TransactionCanceledException) error {
	for _, reason := range canceled.CancellationReasons {
		if reason.Code != nil && (*reason.Code == conditionFailedReason || *reason.Code == transactionConflictReason) {
			return table.ErrConflict
		}
	}
	return table.ErrUnavailable
}
