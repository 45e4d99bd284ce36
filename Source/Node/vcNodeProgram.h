#pragma once

/// The node program: its servers, loops and signals.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Fills in the store, the workers and the documents of one platform.
using PlatformBinder = std::function<void(NodeContext&)>;

/// Runs a node until SIGTERM.
/// @param aSettingsPath read again on SIGHUP
/// @return the exit code
int RunNode(const NodeSettings& aSettings,
            const std::string& aSettingsPath,
            const PlatformBinder& aBind);

} // namespace verbenacroft
