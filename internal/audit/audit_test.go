package audit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/audit"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
)

func TestListReturnsEntriesOfPeriodInOrderOfTime(t *testing.T) {
	c := qt.New(t)
	log := audit.Log{Store: standin.NewTable()}
	start := time.Date(2026, 12, 3, 23, 50, 0, 0, time.UTC)
	for i := range 30 {
		entry := audit.Entry{At: start.Add(time.Duration(i) * time.Minute), Actor: "ada", Action: audit.TicketAccepted, Subject: fmt.Sprint("ticket ", i)}
		c.Assert(log.Append(t.Context(), entry), qt.IsNil)
	}
	list, err := log.List(t.Context(), audit.Query{From: start.Add(5 * time.Minute), To: start.Add(20 * time.Minute)})
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 15)
	c.Assert(list[0].Subject, qt.Equals, "ticket 5")
	c.Assert(list[14].Subject, qt.Equals, "ticket 19")
	list, err = log.List(t.Context(), audit.Query{From: start, To: start.Add(time.Hour), Limit: 7})
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 7)
}

// A write that is repeated after a lost request or response must store one entry.
func TestRepeatedWriteAfterLostAnswerStoresOneEntry(t *testing.T) {
	c := qt.New(t)
	store := standin.NewTable()
	log := audit.Log{Store: store}
	for _, faults := range []standin.TableFaults{{LoseAnswers: 1}, {LoseRequests: 2}} {
		store.SetFaults(faults)
		c.Assert(log.Append(t.Context(), audit.Entry{Actor: "ada", Action: audit.NodeDrained}), qt.IsNil)
	}
	store.SetFaults(standin.TableFaults{Down: true})
	c.Assert(log.Append(t.Context(), audit.Entry{}), qt.ErrorIs, table.ErrUnavailable)
	store.SetFaults(standin.TableFaults{})
	list, err := log.List(t.Context(), audit.Query{From: time.Now().Add(-time.Hour), To: time.Now().Add(time.Hour)})
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 2)
}
