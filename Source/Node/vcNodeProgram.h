#pragma once

/// The node program: servers, background coroutines and signal handling.

#include "vcNodeContext.h"

namespace verbenacroft {

/// Sets the store, the worker port and the document codec for one platform.
using PlatformBinder = std::function<void(NodeContext&)>;

/// Runs a node until SIGTERM or SIGINT.
/// @param aSettingsPath settings file, read again on SIGHUP
/// @param aBind called once before the servers start
/// @return the exit code of the process
int RunNode(const NodeSettings& aSettings,
            const std::string& aSettingsPath,
            const PlatformBinder& aBind);

} // namespace verbenacroft
