/// The callers of a fleet: jobs that they submit.

#include "vcFleetState.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Part of the jobs that last until they are cancelled, in percent, while jobs
/// come one at a time. They stay, so there are fewer of them among many jobs.
constexpr int kLastingPercent = 10;
/// Part of the jobs, in percent, that come while long-running tasks fill the
/// workers.
constexpr int kJobsBesideFullPercent = 2;
/// Callers wait 3 s.
constexpr Duration kLongestAnswer{ 2'900 };

} // namespace

BatchSpec Fleet::DrawJob(const JobId& aId)
{
  if (this->HasLateEnds()) {
    return this->DrawLimitedJob(aId);
  }
  if (this->HasScarceRoom() && this->NeedsLargeTasks()) {
    return this->DrawLargeJob(aId);
  }
  BatchSpec spec;
  const int atOnce = HasManyLastingJobs(this->mOptions.mPlay)
                       ? 1
                       : static_cast<int>(this->mOptions.mJobsAtOnce);
  const bool isDrawn = this->Toss(std::max(1, kLastingPercent / atOnce));
  // Jobs that last would use up a quota or scarce room for good.
  const bool isLasting = isDrawn && !this->HasTeams() && !this->HasScarceRoom();
  const int steps = isLasting ? 1 : this->Draw(1, 2);
  for (int s = 0; s < steps; ++s) {
    StepSpec step;
    step.mCount = static_cast<std::uint32_t>(this->Draw(1, 3));
    step.mNeeds.mMilliCpu = 1'000;
    step.mNeeds.mMemoryMb = 100;
    step.mEstimateMs = 500;
    step.mIsLasting = isLasting;
    if (s > 0) {
      step.mAfter = { 0 };
    }
    spec.mSteps.push_back(step);
    for (std::uint32_t i = 0; i < step.mCount; ++i) {
      const TaskId task{ aId, 0, static_cast<std::uint32_t>(s), i };
      TaskPlan& plan = this->mWorkers.mPlans[task];
      plan.mWork = Duration(this->Draw(100, 2'500));
      plan.mIsLasting = isLasting;
      plan.mMilliCpu = step.mNeeds.mMilliCpu;
    }
  }
  return spec;
}

void Fleet::SubmitJob()
{
  const JobId id = fmt::format("{:016x}", this->mRandom());
  const BatchSpec spec = this->DrawJob(id);
  this->DrawDeadlyTask(id, spec);
  this->SendSubmission(id, spec);
}

void Fleet::SendSubmission(const JobId& aId, const BatchSpec& aSpec)
{
  const auto life = this->mLives.find(this->DrawNode());
  const bool isThere = life != this->mLives.end() && !life->second.mIsPaused &&
                       !life->second.mNode->mIsStopping;
  if (!isThere) {
    return;
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = kQueuePath + aId;
  request.mHeaders = { { "Host", kHost }, { kKeyHeader, this->TeamOf(aId) } };
  if (this->TeamOf(aId) == kLimitedTeam) {
    this->mWorkers.mLimitedJobs.insert(aId);
  }
  request.mBody = Encode(aSpec);
  asio::co_spawn(
    *life->second.mIo,
    [this, &node = *life->second.mNode, request, id = aId, spec = aSpec]()
      -> asio::awaitable<void> {
      const TimePoint sentAt = SuspendAwareNow();
      int status = 0;
      try {
        status = (co_await HandleCallerRequest(node, request)).mStatus;
      } catch (const std::exception&) {
        // The server answers so for a handler that throws.
        status = 500;
      }
      // A process that is paused can't answer.
      const TimePoint since =
        std::max(sentAt, this->mLives.at(node.mSettings.mName).mGoesOnAt);
      this->OnAnswer(id, spec, status, SuspendAwareNow() - since);
    },
    asio::detached);
}

void Fleet::SubmitJobs()
{
  // Beside long-running tasks that fill the workers there is little other work.
  const bool isFull = this->HasScarceRoom() && !this->NeedsLargeTasks();
  for (std::uint32_t i = 0; i < this->mOptions.mJobsAtOnce; ++i) {
    if (!isFull || this->Toss(kJobsBesideFullPercent)) {
      this->SubmitJob();
    }
  }
}

void Fleet::OnAnswer(const JobId& aId,
                     const BatchSpec& aSpec,
                     int aStatus,
                     Duration aTook)
{
  constexpr int kAccepted = 200;
  constexpr int kNotRun = 503;
  if (aStatus == kAccepted) {
    this->mJobs.push_back(aId);
    this->mAcceptedAt[aId] = this->mNow;
    this->mLasting.insert(aSpec.mSteps[0].mIsLasting ? aId : JobId());
  } else if (aStatus == kNotRun && !this->mUncertainJobs.contains(aId)) {
    this->mRefused.insert(aId);
  } else if (aStatus != kNotRun) {
    this->OnUnansweredSubmission(aId, aSpec);
  }
  if (aTook > kLongestAnswer) {
    this->Problem(fmt::format(
      "job {} was answered {} after {} ms", aId, aStatus, aTook.count()));
  }
}

} // namespace verbenacroft
