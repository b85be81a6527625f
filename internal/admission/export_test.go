package admission

// Accounts returns the number of callers and flows of which the queue holds anything.
func (q *Queue) Accounts() int {
	return len(q.flows.flows) + len(q.flows.callers) + len(q.flows.finished)
}
