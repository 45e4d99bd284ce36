/// The callers of a fleet that cancel jobs: accepted ones, and those whose
/// submission got no answer.

#include "vcFleetState.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Statuses that acknowledge a cancellation.
constexpr int kCancelled = 200;
constexpr int kNoSuchJob = 410;
/// Times of windows in which the store does writes late and doesn't answer.
constexpr int kWindows = 4;
constexpr Duration kWindowEach{ 8'000 };
/// A cancellation that isn't acknowledged is sent again after this time.
constexpr Duration kCancelledAgainAfter{ 400 };

} // namespace

void Fleet::CancelJob()
{
  if (this->mJobs.empty()) {
    return;
  }
  // Jobs that came lately may still have starts before them.
  constexpr int kLately = 12;
  const int jobs = static_cast<int>(this->mJobs.size());
  const int drawn = this->DrawForWatches(std::max(0, jobs - kLately), jobs - 1);
  this->CancelAtAnyNode(this->mJobs[static_cast<std::size_t>(drawn)]);
}

bool Fleet::IsOwed(const JobId& aId) const
{
  return this->mAcceptedAt.contains(aId) && !this->mCancelled.contains(aId);
}

void Fleet::CancelAtAnyNode(const JobId& aId)
{
  const auto node = fmt::format(
    "node-{}",
    this->DrawForWatches(1, static_cast<int>(this->mOptions.mNodes)));
  NodeLife& life = this->mLives.at(node);
  asio::co_spawn(
    *life.mIo, this->SendCancellation(*life.mNode, aId), asio::detached);
}

asio::awaitable<void> Fleet::SendCancellation(NodeContext& aNode, JobId aId)
{
  HttpRequest request;
  request.mMethod = "DELETE";
  request.mTarget = kQueuePath + aId;
  request.mHeaders = { { "Host", kHost }, { kKeyHeader, this->TeamOf(aId) } };
  const bool isOwed = this->IsOwed(aId);
  const HttpResponse response = co_await HandleCallerRequest(aNode, request);
  const bool isUnknown = response.mStatus == kNoSuchJob;
  if (isUnknown && isOwed) {
    this->Problem(fmt::format("job {} is accepted and isn't known", aId));
  } else if (isUnknown || response.mStatus == kCancelled) {
    this->mCancelled.insert(aId);
    this->mUnansweredJobs.erase(aId);
    this->mWorkers.mNoStartOfJobFrom.try_emplace(aId,
                                                 this->mNow + kObeyedWithin);
  }
}

asio::awaitable<void> Fleet::AskForState(NodeContext& aNode, JobId aId)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = kQueuePath + aId;
  request.mHeaders = { { "Host", kHost }, { kKeyHeader, this->TeamOf(aId) } };
  const bool isOwed = this->IsOwed(aId);
  const HttpResponse response = co_await HandleCallerRequest(aNode, request);
  const bool isMissed =
    response.mStatus == kNoSuchJob && isOwed && !this->mCancelled.contains(aId);
  if (isMissed) {
    this->Problem(fmt::format("job {} is accepted and isn't known", aId));
  }
}

void Fleet::ScheduleLateSubmissions()
{
  TimePoint at = kStart + kQuietStart;
  for (int i = 0; i < kWindows; ++i, at += kWindowEach) {
    const TimePoint begin = at + Duration(this->Draw(0, 1'000));
    const TimePoint end = begin + Duration(this->Draw(2'000, 6'000));
    const double share = this->Draw(3, 10) / 10.0;
    this->At(begin, "answers lost, writes late", [=, this] {
      this->mStore.mLostShare = share;
      this->mStore.mIsLostLate = true;
    });
    this->At(end, "answers heard", [this] { this->mStore.mLostShare = 0; });
  }
  this->mCalmAt = at;
}

void Fleet::OnUnansweredSubmission(const JobId& aId, const BatchSpec& aSpec)
{
  this->mUncertainJobs.insert(aId);
  const bool isCancelling =
    this->mOptions.mPlay == FleetPlay::kLateSubmissions &&
    !this->mCancelled.contains(aId);
  if (!isCancelling) {
    return;
  }
  // Some callers send the job again, with the same identifier, beside that.
  if (this->DrawForWatches(1, 3) == 1) {
    this->SendSubmission(aId, aSpec);
  }
  this->mUnansweredJobs.try_emplace(
    aId, this->mNow + Duration(this->DrawForWatches(0, 1'500)));
}

void Fleet::CancelUnansweredJobs()
{
  std::vector<JobId> due;
  for (auto& [id, nextAt] : this->mUnansweredJobs) {
    if (this->mNow >= nextAt) {
      nextAt = this->mNow + kCancelledAgainAfter;
      due.push_back(id);
    }
  }
  for (const auto& id : due) {
    NodeLife& life = this->mLives.at(this->DrawNode());
    asio::co_spawn(
      *life.mIo, this->AskForState(*life.mNode, id), asio::detached);
    this->CancelAtAnyNode(id);
  }
}

} // namespace verbenacroft
