#pragma once

/// Public header of the Dispatch library: the decisions of the one process
/// that owns a shard of jobs and workers. Nothing here reads a clock, a
/// socket or a random device.

#include "vcDispatchJobs.h"
#include "vcDispatchPacing.h"
#include "vcDispatchPlacement.h"
#include "vcDispatchSharing.h"
#include "vcDispatchState.h"
#include "vcDispatchWorkers.h"
#include "vcWorkerOrders.h"
