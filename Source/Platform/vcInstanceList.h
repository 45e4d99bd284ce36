#pragma once

/// The platform's list of live and leaving instances. It lags behind the actual
/// state of the instances.

#include "vcResources.h"

#include <string>
#include <vector>

namespace verbenacroft {

/// State of an instance in the platform's list.
enum class InstanceState
{
  kLive,
  kLeaving,
};

template<>
struct EnumTable<InstanceState>
{
  static constexpr auto kRows = std::to_array<NameRow<InstanceState>>({
    { InstanceState::kLive, "live" },
    { InstanceState::kLeaving, "leaving" },
  });
};

/// Entry of the list: an instance that runs the worker interface.
struct Instance
{
  std::string mName;
  std::string mDataCentre;
  std::string mRack;
  /// Address of the instance's worker interface.
  std::string mAddress;
  Resources mCapacity;
  InstanceState mState = InstanceState::kLive;
};
BOOST_DESCRIBE_STRUCT(Instance,
                      (),
                      (mName, mDataCentre, mRack, mAddress, mCapacity, mState))

/// The list, or its part for one data centre.
struct InstanceList
{
  std::uint64_t mVersion = 0;
  std::vector<Instance> mInstances;
};
BOOST_DESCRIBE_STRUCT(InstanceList, (), (mVersion, mInstances))

} // namespace verbenacroft
