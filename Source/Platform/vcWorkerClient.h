#pragma once

/// Adapters of the platform's worker interface and instance list: HTTP with
/// JSON, POST /v1/sync on a worker and GET /v1/instances on the list.

#include "vcHttp.h"
#include "vcInstanceList.h"
#include "vcWorkerMessages.h"

#include <optional>

namespace verbenacroft {

/// Calls a worker.
/// @return its reply, or nothing if none arrived in time.
asio::awaitable<std::optional<WorkerSyncReply>> SyncWorker(HttpClient& aHttp,
                                                           Endpoint aWorker,
                                                           WorkerSync aSync);

/// Reads the part of the instance list for `aDataCentre`; all of it if the
/// name is empty.
/// @return the list, or nothing if none arrived in time.
asio::awaitable<std::optional<InstanceList>>
ReadInstances(HttpClient& aHttp, Endpoint aList, std::string aDataCentre);

} // namespace verbenacroft
