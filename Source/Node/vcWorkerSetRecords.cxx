#include "vcWorkerSetRecords.h"

#include <algorithm>

namespace verbenacroft {

WorkerSetRecord NextWorkerSet(const WorkerSetRecord& aEarlier,
                              const std::string& aNode)
{
  WorkerSetRecord workerSet = aEarlier;
  ++workerSet.mGeneration;
  // An earlier process of the same node can no longer act.
  const bool hasStopped = aEarlier.mOwner.empty() || aEarlier.mOwner == aNode;
  workerSet.mHasEarlierStopped = aEarlier.mIsSettled && hasStopped;
  workerSet.mOwner = aNode;
  workerSet.mIsSettled = false;
  return workerSet;
}

InactiveWorkersRecord NextInactiveWorkers(
  const InactiveWorkersRecord& aRecorded,
  const WorkerSetRecord& aEarlier,
  Duration aLeaseLimit)
{
  InactiveWorkersRecord next;
  next.mGeneration = aEarlier.mGeneration + 1;
  const bool isFirstClaim = aEarlier.mGeneration == 0;
  if (isFirstClaim) {
    next.mLeaseLimitMs = aLeaseLimit.count();
  } else if (aRecorded.mGeneration == aEarlier.mGeneration) {
    next.mWorkers = aRecorded.mWorkers;
    const bool isKnown = aRecorded.mLeaseLimitMs > 0;
    next.mLeaseLimitMs =
      isKnown ? std::max(aRecorded.mLeaseLimitMs, aLeaseLimit.count()) : 0;
  }
  return next;
}

IncarnationsRecord NextIncarnations(const IncarnationsRecord& aRecorded,
                                    const WorkerSetRecord& aEarlier)
{
  IncarnationsRecord next;
  next.mGeneration = aEarlier.mGeneration + 1;
  if (aRecorded.mGeneration == aEarlier.mGeneration) {
    next.mWorkers = aRecorded.mWorkers;
  }
  return next;
}

std::map<std::string, InactiveWorker> InactiveMembers(
  const InactiveWorkersRecord& aRecorded,
  const WorkerSetRecord& aWorkerSet)
{
  std::map<std::string, InactiveWorker> members;
  if (aRecorded.mGeneration == aWorkerSet.mGeneration) {
    for (const auto& worker : aRecorded.mWorkers) {
      members[worker.mWorker] = worker;
    }
  }
  return members;
}

void AddWorkerSet(KvTransaction& aWrite,
                  std::uint32_t aShard,
                  const WorkerSetRecord& aWorkerSet,
                  const InactiveWorkersRecord& aInactive)
{
  aWrite.mPuts.push_back(
    PersistentPut(WorkerSetKey(aShard), Encode(aWorkerSet)));
  aWrite.mPuts.push_back(
    PersistentPut(InactiveWorkersKey(aShard), Encode(aInactive)));
}

} // namespace verbenacroft
