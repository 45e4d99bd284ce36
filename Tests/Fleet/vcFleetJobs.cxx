/// The callers of a fleet: jobs that they submit and cancel.

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
/// Callers wait 3 s.
constexpr Duration kLongestAnswer{ 2'900 };

} // namespace

BatchSpec Fleet::DrawJob(const JobId& aId)
{
  BatchSpec spec;
  const int atOnce = HasManyLastingJobs(this->mOptions.mPlay)
                       ? 1
                       : static_cast<int>(this->mOptions.mJobsAtOnce);
  const bool isDrawn = this->Toss(std::max(1, kLastingPercent / atOnce));
  // Jobs that last would use up a quota for good.
  const bool isLasting = isDrawn && !this->HasTeams();
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
      this->mWorkers.mPlans[task] = { Duration(this->Draw(100, 2'500)),
                                      isLasting };
    }
  }
  return spec;
}

void Fleet::SubmitJob()
{
  const JobId id = fmt::format("{:016x}", this->mRandom());
  const BatchSpec spec = this->DrawJob(id);
  this->DrawDeadlyTask(id, spec);
  const auto life = this->mLives.find(this->DrawNode());
  const bool isThere = life != this->mLives.end() && !life->second.mIsPaused &&
                       !life->second.mNode->mIsStopping;
  if (!isThere) {
    return;
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = kQueuePath + id;
  request.mHeaders = { { "Host", kHost }, { kKeyHeader, this->TeamOf(id) } };
  if (this->TeamOf(id) == kLimitedTeam) {
    this->mWorkers.mLimitedJobs.insert(id);
  }
  request.mBody = Encode(spec);
  asio::co_spawn(
    *life->second.mIo,
    [this, &node = *life->second.mNode, request, id, spec]()
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
  for (std::uint32_t i = 0; i < this->mOptions.mJobsAtOnce; ++i) {
    this->SubmitJob();
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
  } else if (aStatus == kNotRun) {
    this->mRefused.insert(aId);
  }
  if (aTook > kLongestAnswer) {
    this->Problem(fmt::format(
      "job {} was answered {} after {} ms", aId, aStatus, aTook.count()));
  }
}

void Fleet::CancelJob()
{
  if (this->mJobs.empty()) {
    return;
  }
  // Jobs that came lately may still have starts before them.
  constexpr int kLately = 12;
  const int jobs = static_cast<int>(this->mJobs.size());
  const int drawn = this->DrawForWatches(std::max(0, jobs - kLately), jobs - 1);
  const JobId id = this->mJobs[static_cast<std::size_t>(drawn)];
  const auto node = fmt::format(
    "node-{}",
    this->DrawForWatches(1, static_cast<int>(this->mOptions.mNodes)));
  NodeLife& life = this->mLives.at(node);
  asio::co_spawn(
    *life.mIo, this->SendCancellation(*life.mNode, id), asio::detached);
}

asio::awaitable<void> Fleet::SendCancellation(NodeContext& aNode, JobId aId)
{
  HttpRequest request;
  request.mMethod = "DELETE";
  request.mTarget = kQueuePath + aId;
  request.mHeaders = { { "Host", kHost }, { kKeyHeader, this->TeamOf(aId) } };
  const HttpResponse response = co_await HandleCallerRequest(aNode, request);
  constexpr int kAccepted = 200;
  if (response.mStatus == kAccepted) {
    this->mCancelled.insert(aId);
    this->mWorkers.mNoStartOfJobFrom.try_emplace(aId,
                                                 this->mNow + kObeyedWithin);
  }
}

} // namespace verbenacroft
