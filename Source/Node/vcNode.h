#pragma once

/// Public header of the Node library: the process of an entry instance, which
/// accepts callers' jobs and owns shards of jobs and workers.

#include "vcCallerRequests.h"
#include "vcFleetLayout.h"
#include "vcMembership.h"
#include "vcNodeProgram.h"
#include "vcNodeSettings.h"
#include "vcOperatorWatch.h"
#include "vcShardClaims.h"
#include "vcShardRunner.h"
