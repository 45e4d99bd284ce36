#pragma once

/// Stand-in of the platform's key-value service: compare-and-swap, leases,
/// watches, a rate limit, and switches for outages and lost answers.

#include "vcStore.h"

#include <map>
#include <random>

namespace verbenacroft {

struct FakeLease
{
  Duration mTtl{ 0 };
  TimePoint mExpiresAt{ 0 };
};

/// Faults that can be switched on.
struct FakeStoreFaults
{
  bool mIsDown = false;
  /// Part of the answers that are lost after the call took effect, 0 to 1.
  double mLostAnswers = 0;
  /// Time added to every answer.
  Duration mDelay{ 0 };
};
BOOST_DESCRIBE_STRUCT(FakeStoreFaults, (), (mIsDown, mLostAnswers, mDelay))

struct FakeStore
{
  std::uint64_t mRevision = 0;
  std::uint64_t mNextLease = 1;
  std::map<std::string, StoreEntry> mEntries;
  std::map<std::uint64_t, FakeLease> mLeases;
  FakeStoreFaults mFaults;
  std::mt19937_64 mRandom{ 1 };
  /// Limits for the whole fleet, a second.
  double mWritesPerSecond = 600;
  double mReadsPerSecond = 2'000;
  StoreBudget mWrites{ 600, 600, 600, TimePoint{ 0 } };
  StoreBudget mReads{ 2'000, 2'000, 2'000, TimePoint{ 0 } };
  std::map<std::string, std::uint64_t> mCounts;
  std::size_t mLargestValue = 0;
};

struct FakeStoreResult
{
  /// The watch has nothing to tell yet.
  bool mIsWaiting = false;
  /// The call took effect and its answer is lost.
  bool mIsLost = false;
  StoreReply mReply;
};

/// Ends leases whose time has come.
void ExpireLeases(FakeStore& aStore, TimePoint aNow);

/// Handles one call. `aWaited` is how long a watch has waited so far.
FakeStoreResult HandleStoreCall(FakeStore& aStore,
                                const StoreRequest& aRequest,
                                Duration aWaited,
                                TimePoint aNow);

} // namespace verbenacroft
