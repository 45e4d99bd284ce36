#pragma once

/// Objects that operators declare. Each carries the revision at which it was
/// last changed; the configuration's revision is its last change's index.

#include "vcPlatform.h"

#include <optional>
#include <string>
#include <vector>

namespace verbenacroft {

struct Backer
{
  std::string mName;
  /// Share of the capacity, in percent.
  std::int64_t mSharePercent = 0;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(Backer, (), (mName, mSharePercent, mRevision))

struct DataCentre
{
  std::string mName;
  std::string mRegion;
  /// Nothing starts in a drained data centre.
  bool mIsDrained = false;
  /// Number of shards that its workers are divided into.
  std::int64_t mShards = 2;
  /// Routers that may send to its targets; each gets an equal share of
  /// the targets' slots.
  std::int64_t mRouters = 2;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(
  DataCentre,
  (),
  (mName, mRegion, mIsDrained, mShards, mRouters, mRevision))

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

struct Service
{
  std::string mName;
  std::string mBacker;
  ServiceClass mClass = ServiceClass::kCritical;
  std::vector<std::string> mDataCentres;
  /// Replicas over all data centres.
  std::int64_t mReplicas = 1;
  /// Size of one replica.
  Resources mResources;
  /// Paths below the service's name whose POST requests are idempotent.
  std::vector<std::string> mIdempotentPaths;
  Duration mDeadline{ 2'000 };
  /// Wait before an idempotent request is sent a second time; 0 for never.
  Duration mHedgeAfter{ 0 };
  /// Objective: share of requests answered within the latency, in percent.
  Duration mObjectiveLatency{ 250 };
  double mObjectivePercent = 99.0;
  /// The service echoes the request identifier in each answer.
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

/// Weights that choose between the operators' priorities, 0 to 10 each.
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

/// Object named `aName` in `aObjects`, or null.
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

/// The policy in force: the first one, or the default weights.
Policy PolicyOf(const Configuration& aConfiguration);

/// True if nothing may start in the data centre: drained or not declared.
bool IsDrained(const Configuration& aConfiguration, std::string_view aName);

/// Names of the data centre's shards, such as "north-0".
std::vector<std::string> ShardsOf(const DataCentre& aDataCentre);

/// Adds faults of a change from one configuration to the next: the shards of
/// a data centre stay as they are, since a worker that changed its shard
/// would have two owners for a while; a data centre is drained before it
/// is removed.
void CheckTransition(const Configuration& aFrom,
                     const Configuration& aTo,
                     Faults& aFaults);

/// Checks the configuration as a whole.
/// @param aLargest the largest instance known, if any is.
/// @return every fault, with its path.
Faults CheckConfiguration(const Configuration& aConfiguration,
                          const std::optional<Resources>& aLargest);

} // namespace verbenacroft
