#include "vcOperatorFeed.h"

#include "vcMembership.h"

#include <spdlog/spdlog.h>

namespace verbenacroft {

namespace {

constexpr Duration kRetry{ 150 };
/// Short enough that a watch that fell silent costs less than the time in
/// which a configuration has to be in force.
constexpr Duration kOperatorsWait{ 700 };
constexpr Duration kFullRead{ 5'000 };

void ApplyConfig(NodeContext& aNode, const KvItem& aItem)
{
  Faults faults;
  auto config = aNode.mCodec.mDecodeConfig(aItem.mValue, faults);
  if (!config) {
    for (const auto& fault : faults) {
      spdlog::error(
        "config.unreadable revision={} fault={}", aItem.mRevision, fault.mPath);
    }
    return;
  }
  const std::uint64_t before =
    aNode.mOperators ? aNode.mOperators->mConfig.mVersion : 0;
  if (aNode.mOperators && config->mVersion <= before) {
    return;
  }
  spdlog::info("config.applied version={} before={} queues={} revision={}",
               config->mVersion,
               before,
               config->mQueues.size(),
               aItem.mRevision);
  if (!aNode.mOperators) {
    aNode.mOperators.emplace();
  }
  aNode.mOperators->mConfig = std::move(*config);
}

void ApplyEvacuation(NodeContext& aNode, const KvItem& aItem)
{
  if (!aNode.mOperators) {
    aNode.mOperators.emplace();
  }
  const std::string dataCentre =
    aItem.mKey.substr(aNode.mCodec.mEvacuationPrefix.size());
  const bool isChanged =
    aItem.mIsRemoved ? aNode.mOperators->mEvacuated.erase(dataCentre) > 0
                     : aNode.mOperators->mEvacuated.insert(dataCentre).second;
  if (isChanged) {
    spdlog::info("evacuation data_centre={} is_on={} revision={}",
                 dataCentre,
                 !aItem.mIsRemoved,
                 aItem.mRevision);
  }
}

} // namespace

void ApplyOperatorItem(NodeContext& aNode, const KvItem& aItem)
{
  if (aItem.mKey == aNode.mCodec.mConfigKey && !aItem.mIsRemoved) {
    ApplyConfig(aNode, aItem);
  } else if (aItem.mKey.starts_with(aNode.mCodec.mEvacuationPrefix)) {
    ApplyEvacuation(aNode, aItem);
  }
}

asio::awaitable<void> FollowOperators(NodeContext& aNode)
{
  while (true) {
    const KvReply all = co_await ReadAll(aNode, aNode.mCodec.mOperatorsPrefix);
    if (all.mStatus != KvStatus::kOk) {
      co_await Sleep(kRetry);
      continue;
    }
    std::set<std::string> evacuated;
    for (const auto& item : all.mItems) {
      ApplyOperatorItem(aNode, item);
      if (item.mKey.starts_with(aNode.mCodec.mEvacuationPrefix)) {
        evacuated.insert(
          item.mKey.substr(aNode.mCodec.mEvacuationPrefix.size()));
      }
    }
    if (aNode.mOperators) {
      aNode.mOperators->mEvacuated = std::move(evacuated);
    }
    const KvWatch watch{ aNode.mCodec.mOperatorsPrefix,
                         all.mRevision,
                         kOperatorsWait };
    co_await FollowWatch(
      aNode, watch, SuspendAwareNow() + kFullRead, ApplyOperatorItem);
  }
}

} // namespace verbenacroft
