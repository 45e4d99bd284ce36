#pragma once

/// Applies the configuration and the evacuations that operators write to the
/// store.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Reads and watches the operators' items. Never returns.
asio::awaitable<void> WatchOperatorItems(NodeContext& aNode);

/// Applies one item that operators wrote or removed. A configuration that is
/// malformed, or not newer than the current one, is ignored.
void ApplyOperatorItem(NodeContext& aNode, const KvItem& aItem);

} // namespace verbenacroft
