#pragma once

/// Configuration objects that operators declare. Each object has the revision
/// at which it was last changed. The revision of the configuration is the index
/// of the last journal entry applied to it.

#include "vcPlatform.h"

#include <optional>
#include <string>
#include <vector>

namespace verbenacroft {

/// A team that is entitled to a share of the capacity.
struct Backer
{
  std::string mName;
  /// Share of the capacity, in percent.
  std::int64_t mSharePercent = 0;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(Backer, (), (mName, mSharePercent, mRevision))

/// A data centre and how its workers and targets are divided.
struct DataCentre
{
  std::string mName;
  std::string mRegion;
  /// No task is started in a drained data centre.
  bool mIsDrained = false;
  /// Number of shards that its workers are divided into.
  std::int64_t mShards = 2;
  /// Number of routers that may send to its targets; each may use an equal
  /// share of the targets' slots.
  std::int64_t mRouters = 2;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(
  DataCentre,
  (),
  (mName, mRegion, mIsDrained, mShards, mRouters, mRevision))

/// Class of a service.
enum class ServiceClass
{
  kCritical,
  kStandard,
};

template<>
struct EnumTable<ServiceClass>
{
  static constexpr auto kRows = std::to_array<NameRow<ServiceClass>>({
    { ServiceClass::kCritical, "critical" },
    { ServiceClass::kStandard, "standard" },
  });
};

/// A service whose replicas answer requests under a latency objective.
struct Service
{
  std::string mName;
  std::string mBacker;
  ServiceClass mClass = ServiceClass::kCritical;
  std::vector<std::string> mDataCentres;
  /// Number of replicas over all data centres.
  std::int64_t mReplicas = 1;
  /// Resources of one replica.
  Resources mResources;
  /// Paths below the service's name whose POST requests are idempotent.
  std::vector<std::string> mIdempotentPaths;
  /// Time limit of a request in ms.
  Duration mDeadline{ 2'000 };
  /// Time in ms after which an idempotent request without an answer is sent a
  /// second time (hedged); 0 disables hedging.
  Duration mHedgeAfter{ 0 };
  /// Service-level objective: `mObjectivePercent` of the requests are answered
  /// without an error within this latency, in ms.
  Duration mObjectiveLatency{ 250 };
  double mObjectivePercent = 99.0;
  /// True if the service repeats the request identifier in each answer.
  bool mEchoesRequestId = true;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(Service,
                      (),
                      (mName,
                       mBacker,
                       mClass,
                       mDataCentres,
                       mReplicas,
                       mResources,
                       mIdempotentPaths,
                       mDeadline,
                       mHedgeAfter,
                       mObjectiveLatency,
                       mObjectivePercent,
                       mEchoesRequestId,
                       mRevision))

/// Weights of the operators' priorities, from 0 to 10 each.
struct Policy
{
  std::string mName = "default";
  double mTailLatency = 1.0;
  double mEvictions = 1.0;
  double mThroughput = 1.0;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(Policy,
                      (),
                      (mName, mTailLatency, mEvictions, mThroughput, mRevision))

/// All objects that operators have declared.
struct Configuration
{
  std::uint64_t mRevision = 0;
  std::vector<Backer> mBackers;
  std::vector<DataCentre> mDataCentres;
  std::vector<Service> mServices;
  std::vector<Policy> mPolicies;
};
BOOST_DESCRIBE_STRUCT(Configuration,
                      (),
                      (mRevision, mBackers, mDataCentres, mServices, mPolicies))

/// Returns the object named `aName` in `aObjects`, or null.
template<class Object>
const Object* FindNamed(const std::vector<Object>& aObjects,
                        std::string_view aName)
{
  for (const auto& object : aObjects) {
    if (object.mName == aName) {
      return &object;
    }
  }
  return nullptr;
}

/// Returns the declared policy, or the default weights if there is none.
Policy PolicyOf(const Configuration& aConfiguration);

/// True if no task may be started in the data centre because it is drained or
/// not declared.
bool IsDrained(const Configuration& aConfiguration, std::string_view aName);

/// Returns the names of the data centre's shards, such as "north-0".
std::vector<std::string> ShardsOf(const DataCentre& aDataCentre);

/// Checks a change from one configuration to the next and adds its faults. The
/// number of shards of a data centre must not change, because a worker that
/// moved to another shard would have two owners for a while. A data centre must
/// be drained before it is removed.
void CheckTransition(const Configuration& aFrom,
                     const Configuration& aTo,
                     Faults& aFaults);

/// Checks a whole configuration.
/// @param aMaxInstanceCapacity resources of the largest known instance, if any
/// is known.
/// @return all faults, each with its path.
Faults CheckConfiguration(const Configuration& aConfiguration,
                          const std::optional<Resources>& aMaxInstanceCapacity);

} // namespace verbenacroft
