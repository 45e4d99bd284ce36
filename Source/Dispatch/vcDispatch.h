#pragma once

/// Public header of the Dispatch library, which makes the scheduling decisions
/// of the one process that owns a shard of jobs and workers. The library is
/// deterministic: it reads no clock, socket or random device. Its jobs are
/// those of the Batch library.

#include "vcDispatchCrashes.h"
#include "vcDispatchJobs.h"
#include "vcDispatchOccurrences.h"
#include "vcDispatchPlacement.h"
#include "vcDispatchProbes.h"
#include "vcDispatchReports.h"
#include "vcDispatchReservations.h"
#include "vcDispatchSharing.h"
#include "vcDispatchState.h"
#include "vcDispatchSuccession.h"
#include "vcDispatchThrottling.h"
#include "vcDispatchTurnover.h"
#include "vcDispatchWaiting.h"
#include "vcDispatchWorkers.h"
#include "vcDispatchWorkerSet.h"
#include "vcEndAcknowledgement.h"
#include "vcIncarnationFence.h"
#include "vcOverload.h"
#include "vcOwnerPacing.h"
#include "vcRackLocality.h"
#include "vcRenewalSchedule.h"
#include "vcSuspectIsolation.h"
#include "vcTeamQuota.h"
#include "vcWorkerCalls.h"
#include "vcWorkerOrders.h"
#include "vcWorkerRuns.h"
