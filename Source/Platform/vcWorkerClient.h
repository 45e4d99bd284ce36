#pragma once

/// Clients of the platform's worker interface and of its instance list. Both
/// use HTTP with JSON: POST /v1/sync on a worker and GET /v1/instances on the
/// list.

#include "vcHttp.h"
#include "vcInstanceList.h"
#include "vcWorkerMessages.h"

#include <optional>

namespace verbenacroft {

/// Sends one `sync` call to a worker.
/// @return the reply, or nothing if no valid reply arrived in time
asio::awaitable<std::optional<WorkerSyncReply>> SyncWorker(HttpClient& aHttp,
                                                           Endpoint aWorker,
                                                           WorkerSync aSync);

/// Reads the instances of `aDataCentre`, or all instances if the name is empty.
/// @return the list, or nothing if no valid reply arrived in time
asio::awaitable<std::optional<InstanceList>>
ReadInstances(HttpClient& aHttp, Endpoint aList, std::string aDataCentre);

} // namespace verbenacroft
