package admission

// Accounts returns the number of callers and flows of which the queue holds anything.
func (q *Queue) Accounts() int { return len(q.fair.flows) + len(q.fair.callers) + len(q.fair.finished) }
