#include "vcWorld.h"

/// Checks of the promises, and the mutations that each check has to find.

namespace verbenacroft {

namespace {

constexpr Duration kStartLimitAfterDrain{ 3'000 };
constexpr Duration kInForceLimit{ 4'000 };

void CheckFleet(World& aWorld)
{
  for (const auto& text : aWorld.mFleet.mViolations) {
    Violate(aWorld, text);
  }
  aWorld.mFleet.mViolations.clear();
}

void CheckStartInDrained(World& aWorld, const RunEvent& aEvent)
{
  const auto drained = aWorld.mDrainedAt.find(aEvent.mDataCentre);
  if (drained != aWorld.mDrainedAt.end() &&
      aEvent.mAt - drained->second > kStartLimitAfterDrain) {
    Violate(aWorld,
            "task " + aEvent.mTask + " started in drained " +
              aEvent.mDataCentre);
  }
}

/// A start after a stop carries the checkpoint that the stop left.
void CheckResume(World& aWorld, std::size_t aIndex)
{
  const auto& event = aWorld.mFleet.mEvents[aIndex];
  for (std::size_t i = aIndex; i-- > 0;) {
    const auto& earlier = aWorld.mFleet.mEvents[i];
    if (earlier.mTask != event.mTask || earlier.mState == RunState::kRunning) {
      continue;
    }
    if (earlier.mState == RunState::kStopped &&
        earlier.mCheckpoint > event.mCheckpoint) {
      Violate(aWorld, "task " + event.mTask + " lost its checkpoint");
    }
    return;
  }
}

void CheckEvents(World& aWorld)
{
  auto& events = aWorld.mFleet.mEvents;
  for (; aWorld.mCheckedEvents < events.size(); ++aWorld.mCheckedEvents) {
    const auto& event = events[aWorld.mCheckedEvents];
    if (event.mState != RunState::kRunning) {
      continue;
    }
    CheckStartInDrained(aWorld, event);
    if (event.mKind == TaskKind::kBatch) {
      CheckResume(aWorld, aWorld.mCheckedEvents);
    }
  }
}

std::uint64_t RevisionOfNode(const Node& aNode)
{
  if (aNode.mKind == NodeKind::kScheduler) {
    return RevisionOf(aNode.mScheduler.mFollower);
  }
  return RevisionOf(aNode.mKind == NodeKind::kConfig ? aNode.mConfig.mFollower
                                                     : aNode.mFollower);
}

void CheckRevisions(World& aWorld)
{
  for (auto& [name, node] : aWorld.mNodes) {
    if (!node.mIsAlive) {
      node.mHighestRevision = 0;
      continue;
    }
    const auto revision = RevisionOfNode(node);
    if (revision < node.mHighestRevision) {
      Violate(aWorld, "the revision went down in " + name);
    }
    node.mHighestRevision = std::max(node.mHighestRevision, revision);
  }
}

/// True if nothing has been wrong for the time in which a change has to be
/// in force everywhere; scenarios with faults check it themselves.
bool IsCalm(const World& aWorld)
{
  bool isCalm = aWorld.mCuts.empty() && !aWorld.mStore.mFaults.mIsDown &&
                aWorld.mStore.mFaults.mLostAnswers == 0 &&
                aWorld.mStore.mFaults.mDelay == Duration{ 0 };
  for (const auto& [name, node] : aWorld.mNodes) {
    isCalm = isCalm && node.mIsAlive && !node.mIsFrozen;
  }
  return isCalm;
}

void CheckInForce(World& aWorld)
{
  static constexpr auto kCheckEvery = Duration{ 500 };
  const bool isDue = aWorld.mAcceptedRevision > 0 &&
                     aWorld.mNow - aWorld.mAcceptedAt > kInForceLimit &&
                     (aWorld.mNow.count() / kCheckEvery.count()) % 2 == 0;
  if (!IsCalm(aWorld)) {
    // The time counts anew from the end of the last fault.
    aWorld.mAcceptedAt = std::max(aWorld.mAcceptedAt, aWorld.mNow);
    return;
  }
  if (!isDue) {
    return;
  }
  for (const auto& [name, node] : aWorld.mNodes) {
    if (RevisionOfNode(node) < aWorld.mAcceptedRevision) {
      Violate(aWorld, "an accepted change is not in force in " + name);
    }
  }
}

} // namespace

namespace {

/// State of a shard as the store's journal gives it.
ShardData ReadShard(const World& aWorld, const std::string& aShard)
{
  JournalReader reader;
  reader.mName = "shard/" + aShard;
  std::vector<StoreEntry> entries;
  for (const auto& [key, entry] : aWorld.mStore.mEntries) {
    if (key.starts_with(JournalPrefix(reader.mName))) {
      entries.push_back(entry);
    }
  }
  const JournalUpdate news = DeliverInOrder(reader, entries);
  ShardData data;
  Faults faults;
  if (news.mSnapshot) {
    DecodeInto(news.mSnapshot->mState, "$", data, faults);
  }
  for (const auto& entry : news.mEntries) {
    for (const auto& json : entry.mRecords) {
      ShardRecord record;
      DecodeInto(json, "$", record, faults);
      ApplyRecord(data, record);
    }
  }
  return data;
}

} // namespace

bool IsCompletionRecorded(const World& aWorld, const std::string& aTask)
{
  const auto slash = aTask.rfind('/');
  const std::string jobName = aTask.substr(0, slash);
  const auto index = std::stoul(aTask.substr(slash + 1));
  const auto entry = aWorld.mStore.mEntries.find(JobKey(jobName));
  if (entry == aWorld.mStore.mEntries.end()) {
    return false;
  }
  const auto claim = TryDecode<JobClaim>(entry->second.mValue);
  if (!claim || IsFinal(claim->mJob.mState)) {
    return true;
  }
  const auto data = ReadShard(aWorld, claim->mShard);
  const auto job = data.mJobs.find(jobName);
  const auto& record = job == data.mJobs.end() ? claim->mJob : job->second;
  return record.mTasks.at(index).mIsDone;
}

void KillWorkerOf(World& aWorld, const std::string& aWorker)
{
  StepFleet(aWorld.mFleet, aWorld.mNow);
  for (const auto& [name, task] : aWorld.mFleet.mWorkers.at(aWorker).mTasks) {
    const bool isUnreported = task.mState == RunState::kFinished &&
                              task.mStart.mKind == TaskKind::kBatch &&
                              !IsCompletionRecorded(aWorld, name);
    if (isUnreported) {
      --aWorld.mFleet.mCompletions[name];
      aWorld.mTrace.push_back(std::to_string(aWorld.mNow.count()) +
                              " completion of " + name + " ends with " +
                              aWorker);
    }
  }
  KillWorker(aWorld.mFleet, aWorker, aWorld.mNow);
}

void CheckPromises(World& aWorld)
{
  CheckFleet(aWorld);
  CheckEvents(aWorld);
  CheckRevisions(aWorld);
  CheckInForce(aWorld);
}

namespace {

void MutateScheduler(World& aWorld, SchedulerState& aState)
{
  switch (aWorld.mMutation) {
    case Mutation::kFreshProof:
      aState.mFollower.mConfirmedCurrentAt = aWorld.mNow;
      break;
    case Mutation::kEarlyDurable:
      for (auto& [name, shard] : aState.mShards) {
        shard.mJournal.mDurable = shard.mJournal.mAppended;
        RunDurableActions(shard);
      }
      break;
    case Mutation::kForgottenCommitment:
      for (auto& [name, shard] : aState.mShards) {
        for (auto& [workerName, worker] : shard.mWorkers) {
          worker.mCommitted = {};
        }
      }
      break;
    case Mutation::kForgottenCompletion:
      for (auto& [name, shard] : aState.mShards) {
        for (auto& [jobName, job] : shard.mData.mJobs) {
          for (auto& task : job.mTasks) {
            task.mIsDone = false;
          }
        }
        for (auto& [jobName, runtime] : shard.mJobs) {
          runtime.mNextIndex = 0;
        }
      }
      break;
    case Mutation::kForgottenCheckpoint:
      for (auto& [name, shard] : aState.mShards) {
        for (auto& [jobName, job] : shard.mData.mJobs) {
          for (auto& task : job.mTasks) {
            task.mCheckpoint = 0;
          }
        }
      }
      break;
    default:
      break;
  }
}

} // namespace

void Mutate(World& aWorld, Node& aNode)
{
  if (aWorld.mMutation == Mutation::kNone) {
    return;
  }
  if (aNode.mKind == NodeKind::kScheduler) {
    MutateScheduler(aWorld, aNode.mScheduler);
  }
  const bool isReverting = aWorld.mMutation == Mutation::kOldConfiguration &&
                           aNode.mKind == NodeKind::kRouter &&
                           RevisionOf(aNode.mFollower) > 1;
  if (isReverting) {
    aNode.mFollower.mState = {};
  }
}

} // namespace verbenacroft
