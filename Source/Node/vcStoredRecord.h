#pragma once

/// Reads one record of this product from the store.

#include "vcNodeContext.h"

#include <spdlog/spdlog.h>

namespace verbenacroft {

/// A record as read from the store.
template<class Record>
struct StoredRecord
{
  Record mRecord;
  /// Revision of the record; 0 if there is none.
  std::uint64_t mRevision = 0;
};

/// Reads the record at a key. One that is missing counts as empty, and so does
/// one that can't be decoded, which is logged.
/// @return nothing if the store could not be read
template<class Record>
asio::awaitable<std::optional<StoredRecord<Record>>> ReadRecord(
  NodeContext& aNode,
  std::string aKey)
{
  const KvReply read = co_await aNode.mStore.mRead(aKey);
  UpdateStoreHealth(aNode, read);
  StoredRecord<Record> stored;
  if (read.mStatus == KvStatus::kNotFound) {
    co_return stored;
  }
  if (read.mStatus != KvStatus::kOk || read.mItems.empty()) {
    co_return std::nullopt;
  }
  stored.mRevision = read.mItems[0].mRevision;
  auto record = TryDecode<Record>(read.mItems[0].mValue);
  if (record) {
    stored.mRecord = std::move(*record);
  } else {
    spdlog::error(
      "record.unreadable key={} revision={}", aKey, stored.mRevision);
  }
  co_return stored;
}

} // namespace verbenacroft
