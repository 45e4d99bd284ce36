/// The cases of the second review. Each one plays its events and judges by what
/// clients and workers have seen.

#include "vcStage.h"

#include <algorithm>

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
/// worker, behind a cut, while the task runs elsewhere.
Verdict LateStartBehindCut(CaseContext& aContext)
{
  // All from the job's submission on.
  constexpr std::int64_t kCutAtMs = 2'500;
  constexpr std::int64_t kRestartAtMs = 3'000;
  constexpr std::int64_t kUnlistedAtMs = 4'000;
  constexpr std::int64_t kLateAtMs = 5'000;
  constexpr std::int64_t kHealAtMs = 8'000;
  constexpr std::int64_t kEndAtMs = 11'000;
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
  SleepUntil(sentAt + kCutAtMs);
  if (Worker* worker = lostAt.load(); worker != nullptr) {
    const std::string name = "worker " + worker->Id();
    aContext.mRecord.Add(name + " is cut off; it left a start unanswered");
    worker->Cut();
    SleepUntil(sentAt + kRestartAtMs);
    aContext.mRecord.Add(name + " restarts under its id, behind the cut");
    worker->RestartBehindCut();
    SleepUntil(sentAt + kUnlistedAtMs);
    worker->Unregister();
    SleepUntil(sentAt + kLateAtMs);
    aContext.mRecord.Add(name + " carries the start out");
    worker->CarryOutLost();
    SleepUntil(sentAt + kHealAtMs);
    aContext.mRecord.Add(name + " is reached again");
    worker->Heal();
  }
  SleepUntil(sentAt + kEndAtMs);
  return HasOverlap(deployment.mLog.EventsOf(job)) ? Verdict::kBroken
                                                   : Verdict::kHeld;
}

/// A task fails, and the order to start it again on the same worker gets no
/// answer. Nothing else is disturbed.
Verdict UnansweredRetry(CaseContext& aContext)
{
  constexpr int kWorkers = 8;
  constexpr std::int64_t kCpuOfWorker = 8'000;
  // The other workers are at work when the task fails, and idle soon after.
  constexpr std::int64_t kOthersMs = 4'000;
  constexpr std::int64_t kTaskMs = 1'000;
  constexpr std::int64_t kLateMs = 7'000;
  // The site's `finish_s` after the late order.
  constexpr std::int64_t kFinishMs = 14'000;
  Deployment deployment(
    aContext.mProgram, aContext.mFolder, aContext.mRecord, 2, kWorkers, 4);
  if (!deployment.WarmUp()) {
    return Verdict::kNotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  std::atomic<Worker*> lostAt{ nullptr };
  for (auto& worker : deployment.mWorkers) {
    worker->SetLost([&, at = worker.get()](const Request& aRequest) {
      const std::string& body = aRequest.body();
      const bool isRetry = aRequest.target() == "/-/run-start" &&
                           body.find(job) != std::string::npos &&
                           body.find(R"("run":2,)") != std::string::npos;
      Worker* none = nullptr;
      return aContext.mHasTrouble && isRetry &&
             lostAt.compare_exchange_strong(none, at);
    });
  }
  deployment.Send(0,
                  "POST",
                  "00000000000000b1",
                  Deployment::Job(kOthersMs, kWorkers - 1, kCpuOfWorker));
  deployment.Send(
    0, "POST", job, Deployment::Job(kTaskMs, 1, kCpuOfWorker, kFailsFirst));
  const std::int64_t sentAt = NowMs();
  SleepUntil(sentAt + kLateMs);
  if (Worker* worker = lostAt.load(); worker != nullptr) {
    aContext.mRecord.Add("worker " + worker->Id() +
                         " carries out the start that it left unanswered");
    worker->CarryOutLost();
  }
  SleepUntil(sentAt + kLateMs + kFinishMs);
  const std::string state = deployment.StateOf(1, job);
  const auto events = deployment.mLog.EventsOf(job);
  const bool isIdle = !events.empty() && events.back().mWhat == "failed" &&
                      events.back().mAtMs < sentAt + kLateMs;
  return state == "running" && isIdle ? Verdict::kBroken : Verdict::kHeld;
}

} // namespace

Verdict RunCase(const std::string& aName, CaseContext& aContext)
{
  if (aName == "cancel-before-late-write") {
    return CancelBeforeLateWrite(aContext);
  }
  if (aName == "unanswered-retry") {
    return UnansweredRetry(aContext);
  }
  if (aName == "late-start-behind-cut") {
    return LateStartBehindCut(aContext);
  }
  aContext.mRecord.Add("no such case: " + aName);
  return Verdict::kNotRun;
}

} // namespace stage
