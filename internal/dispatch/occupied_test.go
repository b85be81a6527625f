package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
)

// TestSuspectWaitsForTheTrialOfAnother guards against a suspected request that fails long
// before its deadline since other suspects have their trials on the servers that it finds:
// nothing was sent there, so that counts neither towards the servers that the request may be
// sent to nor towards the retries.
func TestSuspectWaitsForTheTrialOfAnother(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		const trialTime = time.Second
		s := newFakeServers(1)
		s.replicas[0].Boot = "b"
		d := s.dispatcher()
		d.Allowance = func() retry.Allowance { return retry.Allowance{} }
		other := &poison.Controller{Store: d.Store, Node: "other"}
		other.RecordCrash("lost", "b", []poison.Run{{Digest: "another"}})
		verdict, _ := other.BeginTrial(c.Context(), "another", poison.Trial{Server: "s0", Boot: "b", Deadline: time.Now().Add(time.Minute)})
		c.Assert(verdict, qt.Equals, poison.Exclusive)
		time.AfterFunc(trialTime, func() { other.EndTrial("another") })
		call := s.call("suspect", func(call *dispatch.Call) { call.MaxAttempts, call.Idempotent = 2, true })
		var notices poison.NoticeSet
		d.MergePoisonNotice(notices.RecordCrash(call.Digest, poison.Crash{Server: "lost", Boot: "b", At: time.Now()}))
		c.Check(d.Do(call), qt.IsNil)
		c.Check(s.runs["suspect"], qt.HasLen, 1)
	})
}
