package logs

import "log/slog"

// OrDiscard returns the log or, if it is nil, one that discards everything.
func OrDiscard(log *slog.Logger) *slog.Logger {
	if log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return log
}
