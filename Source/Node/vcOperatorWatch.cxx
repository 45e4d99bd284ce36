#include "vcOperatorWatch.h"

#include "vcMembership.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace verbenacroft {

namespace {

/// Pause after a failed read.
constexpr Duration kRetry{ 150 };
/// Longest wait of one watch call. It is shorter than the time within which a
/// configuration must take effect, so that one unanswered watch call doesn't
/// use up that time. Two waits are well below the age at which nothing is
/// answered or decided from the operators' items any more.
constexpr Duration kWatchWait{ 500 };
/// Interval of complete reads, in case a watch event was missed.
constexpr Duration kFullReadInterval{ 5'000 };

/// Makes a configuration current if it is valid and newer than the current one.
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
  spdlog::info("config.applied version={} before={} queues={} teams={} "
               "revision={}",
               config->mVersion,
               before,
               config->mQueues.size(),
               config->mTeams.size(),
               aItem.mRevision);
  if (!aNode.mOperators) {
    aNode.mOperators.emplace();
  }
  aNode.mTeamCredentials = MakeTeamCredentials(config->mTeams);
  aNode.mOperators->mConfig = std::move(*config);
}

/// Starts or ends the evacuation of a data centre.
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
    aNode.mConfigRevision = std::max(aNode.mConfigRevision, aItem.mRevision);
    ApplyConfig(aNode, aItem);
  } else if (aItem.mKey.starts_with(aNode.mCodec.mEvacuationPrefix)) {
    ApplyEvacuation(aNode, aItem);
  }
}

asio::awaitable<void> WatchOperatorItems(NodeContext& aNode)
{
  while (true) {
    const TimePoint sentAt = SuspendAwareNow();
    const KvReply all =
      co_await ReadAllPages(aNode, aNode.mCodec.mOperatorsPrefix);
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
    aNode.mOperatorsCompleteAt = sentAt;
    const KvWatch watch{ aNode.mCodec.mOperatorsPrefix,
                         all.mRevision,
                         kWatchWait };
    co_await ApplyWatchEvents(aNode,
                              watch,
                              SuspendAwareNow() + kFullReadInterval,
                              ApplyOperatorItem,
                              aNode.mOperatorsCompleteAt);
  }
}

} // namespace verbenacroft
