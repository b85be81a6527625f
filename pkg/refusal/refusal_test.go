package refusal_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// TestEveryReasonIsDocumented checks that the callers' page lists every reason with
// its status and run.
func TestEveryReasonIsDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/CALLERS.md")
	c.Assert(err, qt.IsNil)
	rows := strings.Split(string(page), "\n")
	for _, reason := range refusal.Reasons() {
		row := ""
		for _, line := range rows {
			if strings.HasPrefix(line, "| `") && strings.Contains(line, "`"+string(reason)+"`") {
				row = line
			}
		}
		c.Check(row, qt.Contains, fmt.Sprintf("| %d | %s |", reason.Status(), reason.Run()), qt.Commentf("%s", reason))
		c.Check(reason.Kind(), qt.Not(qt.Equals), "")
	}
}

func ExampleRefusal_Answer() {
	answer := httptest.NewRecorder()
	refused := &refusal.Refusal{
		Reason: refusal.Overloaded, Message: "too many requests wait", RetryAfter: 1500 * time.Millisecond,
	}
	if err := refused.Answer(answer); err != nil {
		fmt.Println(err)
	}
	fmt.Println(answer.Code, answer.Header().Get("Retry-After"), answer.Header().Get(refusal.RunHeader))
	fmt.Println(answer.Body)
	// Output:
	// 429 2 notRun
	// {"error":{"message":"too many requests wait","type":"rate_limit_error","param":null,"code":"overloaded","run":"notRun","retryAfterMs":1500}}
}
