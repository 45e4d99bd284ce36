/// The cases of the second review. Each one plays its events and judges by what
/// clients and workers have seen.

#include "vcStage.h"

#include <algorithm>
#include <csignal>

namespace stage {

namespace {

/// Bounds of the site, in ms.
constexpr std::int64_t kCancelMs = 3'000;

bool EndsWith(const std::vector<std::string>& aKeys, const std::string& aEnd)
{
  return std::any_of(aKeys.begin(), aKeys.end(), [&](const auto& aKey) {
    return aKey.ends_with(aEnd);
  });
}

/// A job's write is carried out late, after its client has cancelled the job
/// and was told that there is none.
Verdict CancelBeforeLateWrite(CaseContext& aContext)
{
  constexpr std::int64_t kLateMs = 6'000;
  // Other jobs take all room until the store has been calm for `contact_ms`.
  constexpr std::int64_t kOthersMs = 10'500;
  constexpr int kTasksOfOthers = 16;
  constexpr std::int64_t kObservedMs = 16'000;
  Deployment deployment(
    aContext.mProgram, aContext.mFolder, aContext.mRecord, 2, 4, 4);
  if (!deployment.WarmUp()) {
    return Verdict::kNotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  if (aContext.mHasTrouble) {
    deployment.mStore.SetFate(
      [&, isLost = false](const std::vector<std::string>& aKeys) mutable {
        const bool isJob = EndsWith(aKeys, job + ".job");
        if (isLost || !isJob) {
          return WriteFate{};
        }
        isLost = true;
        return WriteFate{ true, kLateMs };
      });
  }
  deployment.Send(
    0, "POST", "00000000000000b1", Deployment::Job(kOthersMs, kTasksOfOthers));
  deployment.Send(
    0, "POST", "00000000000000b2", Deployment::Job(kOthersMs, kTasksOfOthers));
  const Answer submitted =
    deployment.Send(0, "POST", job, Deployment::Job(8'000, 2));
  const Answer cancelled = deployment.Send(1, "DELETE", job);
  const std::int64_t ackAt = NowMs();
  const bool isAcked = cancelled.mStatus == 410 || cancelled.mStatus / 100 == 2;
  if (!isAcked) {
    aContext.mRecord.Add("the cancellation was not acknowledged");
    return Verdict::kHeld;
  }
  SleepMs(kObservedMs);
  deployment.StateOf(1, job);
  aContext.mRecord.Add("writes " + std::to_string(deployment.mStore.Writes()) +
                       ", lost " +
                       std::to_string(deployment.mStore.LostWrites()) +
                       ", first answer " + std::to_string(submitted.mStatus));
  const auto events = deployment.mLog.EventsOf(job);
  const bool isLateStart =
    std::any_of(events.begin(), events.end(), [&](const TaskEvent& aEvent) {
      return aEvent.mWhat == "start" && aEvent.mAtMs > ackAt + kCancelMs;
    });
  return isLateStart ? Verdict::kBroken : Verdict::kHeld;
}

/// A sound job is shown as failed since the workers that ran it crashed.
Verdict FailedByCrashes(CaseContext& aContext)
{
  constexpr int kCrashes = 2;
  constexpr std::int64_t kRunsForMs = 2'000;
  constexpr std::int64_t kDownMs = 1'000;
  constexpr std::int64_t kTaskMs = 6'000;
  constexpr std::int64_t kObservedMs = 30'000;
  Deployment deployment(
    aContext.mProgram, aContext.mFolder, aContext.mRecord, 2, 8, 4);
  if (!deployment.WarmUp()) {
    return Verdict::kNotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  const Answer submitted =
    deployment.Send(0, "POST", job, Deployment::Job(kTaskMs, 1));
  if (submitted.mStatus != 200) {
    return Verdict::kNotRun;
  }
  const std::int64_t until = NowMs() + kObservedMs;
  int crashes = aContext.mHasTrouble ? 0 : kCrashes;
  std::string state;
  std::size_t seen = 0;
  while (NowMs() < until && state != "failed" && state != "completed") {
    SleepMs(100);
    const auto events = deployment.mLog.EventsOf(job);
    const bool isRunning = !events.empty() && events.back().mWhat == "start";
    const bool isDue = isRunning && events.size() > seen &&
                       NowMs() - events.back().mAtMs >= kRunsForMs;
    if (crashes < kCrashes && isDue) {
      seen = events.size();
      ++crashes;
      Worker& worker = deployment.WorkerOf(events.back().mWorker);
      aContext.mRecord.Add("worker " + worker.Id() + " crashes");
      worker.Crash();
      SleepMs(kDownMs);
      worker.Start();
    }
    if (crashes == kCrashes) {
      SleepMs(400);
      state = deployment.StateOf(1, job);
    }
  }
  const auto events = deployment.mLog.EventsOf(job);
  const bool hasFailedRun =
    std::any_of(events.begin(), events.end(), [](const TaskEvent& aEvent) {
      return aEvent.mWhat == "failed";
    });
  return state == "failed" && !hasFailedRun ? Verdict::kBroken : Verdict::kHeld;
}

/// True if two runs of a task last at the same time.
bool HasOverlap(const std::vector<TaskEvent>& aEvents)
{
  std::map<std::string, int> running;
  bool hasOverlap = false;
  for (const auto& event : aEvents) {
    int& count = running[event.mTask];
    count += event.mWhat == "start" ? 1 : -1;
    hasOverlap = hasOverlap || count > 1;
  }
  return hasOverlap;
}

/// A start without an answer is carried out late by the next life of its
/// worker, while the task runs elsewhere.
Verdict LateStartAfterRestart(CaseContext& aContext)
{
  // From the start's sending to the planned shutdown of its worker.
  constexpr std::int64_t kDrainAfterMs = 2'500;
  constexpr std::int64_t kDrainMs = 3'000;
  // A worker may serve for longer than it has said.
  constexpr std::int64_t kServesMs = 5'000;
  constexpr std::int64_t kAwayMs = 2'000;
  constexpr std::int64_t kReturnedMs = 20;
  constexpr std::int64_t kTaskMs = 15'000;
  Deployment deployment(
    aContext.mProgram, aContext.mFolder, aContext.mRecord, 2, 8, 4);
  if (!deployment.WarmUp()) {
    return Verdict::kNotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  std::atomic<Worker*> lostAt{ nullptr };
  for (auto& worker : deployment.mWorkers) {
    worker->SetLost([&, at = worker.get()](const Request& aRequest) {
      const bool isStart = aRequest.target() == "/-/run-start" &&
                           aRequest.body().find(job) != std::string::npos;
      Worker* none = nullptr;
      return aContext.mHasTrouble && isStart &&
             lostAt.compare_exchange_strong(none, at);
    });
  }
  deployment.Send(0, "POST", job, Deployment::Job(kTaskMs, 1));
  const std::int64_t sentAt = NowMs();
  SleepUntil(sentAt + kDrainAfterMs);
  if (Worker* worker = lostAt.load(); worker != nullptr) {
    aContext.mRecord.Add("worker " + worker->Id() + " drains");
    worker->Drain(kDrainMs);
    SleepUntil(sentAt + kDrainAfterMs + kServesMs);
    aContext.mRecord.Add("worker " + worker->Id() + " leaves");
    worker->Crash();
    worker->Unregister();
    SleepMs(kAwayMs);
    worker->Start();
    aContext.mRecord.Add("worker " + worker->Id() + " is back");
    SleepMs(kReturnedMs);
    aContext.mRecord.Add("worker " + worker->Id() +
                         " carries out the start that it left unanswered");
    worker->CarryOutLost();
  }
  SleepMs(4'000);
  return HasOverlap(deployment.mLog.EventsOf(job)) ? Verdict::kBroken
                                                   : Verdict::kHeld;
}

} // namespace

Verdict RunCase(const std::string& aName, CaseContext& aContext)
{
  if (aName == "cancel-before-late-write") {
    return CancelBeforeLateWrite(aContext);
  }
  if (aName == "failed-by-crashes") {
    return FailedByCrashes(aContext);
  }
  if (aName == "late-start-after-restart") {
    return LateStartAfterRestart(aContext);
  }
  aContext.mRecord.Add("no such case: " + aName);
  return Verdict::kNotRun;
}

} // namespace stage
