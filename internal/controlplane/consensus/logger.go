package consensus

import (
	"context"
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
)

// raftLogger writes raft's log lines to a slog.Logger. It lowers debug, info and warning lines by one level, because raft
// logs each step of an election at level info.
type raftLogger struct {
	logger *slog.Logger
}

var _ raft.Logger = (*raftLogger)(nil)

func (l *raftLogger) log(level slog.Level, arguments []any) {
	if l.logger.Enabled(context.Background(), level) {
		l.logger.Log(context.Background(), level, "raft", "line", fmt.Sprint(arguments...))
	}
}

func (l *raftLogger) logf(level slog.Level, format string, arguments []any) {
	if l.logger.Enabled(context.Background(), level) {
		l.logger.Log(context.Background(), level, "raft", "line", fmt.Sprintf(format, arguments...))
	}
}

func (l *raftLogger) Debug(arguments ...any) { l.log(slog.LevelDebug-4, arguments) }

func (l *raftLogger) Debugf(format string, arguments ...any) {
	l.logf(slog.LevelDebug-4, format, arguments)
}

func (l *raftLogger) Info(arguments ...any) { l.log(slog.LevelDebug, arguments) }

func (l *raftLogger) Infof(format string, arguments ...any) {
	l.logf(slog.LevelDebug, format, arguments)
}

func (l *raftLogger) Warning(arguments ...any) { l.log(slog.LevelInfo, arguments) }

func (l *raftLogger) Warningf(format string, arguments ...any) {
	l.logf(slog.LevelInfo, format, arguments)
}

func (l *raftLogger) Error(arguments ...any) { l.log(slog.LevelError, arguments) }

func (l *raftLogger) Errorf(format string, arguments ...any) {
	l.logf(slog.LevelError, format, arguments)
}

// Fatal panics instead of exiting, since the driver decides whether the process ends.
func (l *raftLogger) Fatal(arguments ...any) { panic(fmt.Sprint(arguments...)) }

func (l *raftLogger) Fatalf(format string, arguments ...any) {
	panic(fmt.Sprintf(format, arguments...))
}

func (l *raftLogger) Panic(arguments ...any) { panic(fmt.Sprint(arguments...)) }

func (l *raftLogger) Panicf(format string, arguments ...any) {
	panic(fmt.Sprintf(format, arguments...))
}
