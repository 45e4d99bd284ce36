#pragma once

/// Follows what operators write to the store.

#include "vcNodeContext.h"

namespace verbenacroft {

asio::awaitable<void> FollowOperators(NodeContext& aNode);

/// Applies one item that operators wrote or removed. A configuration older
/// than the one in force, or one that can't be read, changes nothing.
void ApplyOperatorItem(NodeContext& aNode, const KvItem& aItem);

} // namespace verbenacroft
