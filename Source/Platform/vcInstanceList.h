#pragma once

/// The platform's lagging list of live and leaving instances.

#include "vcResources.h"

#include <string>
#include <vector>

namespace verbenacroft {

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

/// A worker as the platform lists it.
struct Instance
{
  std::string mName;
  std::string mDataCentre;
  std::string mRack;
  /// Address of the worker interface.
  std::string mAddress;
  Resources mCapacity;
  InstanceState mState = InstanceState::kLive;
};
BOOST_DESCRIBE_STRUCT(Instance,
                      (),
                      (mName, mDataCentre, mRack, mAddress, mCapacity, mState))

struct InstanceList
{
  std::uint64_t mVersion = 0;
  std::vector<Instance> mInstances;
};
BOOST_DESCRIBE_STRUCT(InstanceList, (), (mVersion, mInstances))

} // namespace verbenacroft
