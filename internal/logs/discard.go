package logs

import "log/slog"

// OrDiscard returns log, or a logger that discards everything if log is nil.
func OrDiscard(log *slog.Logger) *slog.Logger {
	if log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return log
}
