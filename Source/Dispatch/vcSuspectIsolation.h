#pragma once

/// Isolation of suspects, which are tasks that may have crashed their workers:
/// one is started apart from other runs, and nothing is started beside it until
/// it has been at work for some time. Its next crash then names it.
///
/// An isolated worker is no place for others, so a suspect is isolated only if
/// that can show something: not one that had been at work before each crash for
/// longer than isolation lasts. That one is started apart from other suspects,
/// if there is room, so that its next crash doesn't count against them. One
/// that has been started beside others, or by another owner, isn't isolated
/// either.

#include "vcDispatchState.h"

#include <set>
#include <string>

namespace verbenacroft {

/// True if workers have crashed under the task, and it hasn't been cleared.
bool IsSuspect(const DispatchTask& aTask);

/// True if the task is a suspect that may crash its worker while it is
/// isolated.
bool NeedsIsolation(const DispatchTask& aTask);

/// True if the task's run was seen at work for so long that it isn't likely to
/// crash its worker.
bool IsSeenAtWork(const DispatchTask& aTask);

/// True if the task isn't a suspect, or if its history is stored, so that a
/// next owner knows it.
bool IsCrashHistorySafe(const DispatchTask& aTask);

/// True if the task may be started beside any others: it isn't a suspect, or it
/// has found no place apart for a while.
bool MayStartBesideOthers(const DispatchTask& aTask, TimePoint aNow);

/// True if a run on the worker hasn't been seen at work for long enough.
bool HasUnseenRun(const DispatchShard& aShard, const DispatchWorker& aWorker);

/// True if a suspect runs on the worker.
bool HasSuspect(const DispatchShard& aShard, const DispatchWorker& aWorker);

/// Names of the workers that run an isolated suspect which hasn't been seen at
/// work for long enough. Nothing else is started there.
std::set<std::string> IsolatedWorkers(const DispatchShard& aShard);

} // namespace verbenacroft
