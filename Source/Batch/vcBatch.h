#pragma once

/// Public header of the Batch library: jobs that consist of steps, their
/// records in the store, the validation of submitted jobs, and the queues that
/// operators configure. The Dispatch and Node libraries use these types; the
/// jobs of the Scheduler library are in the Jobs library.

#include "vcBatchProgress.h"
#include "vcBatchSpec.h"
#include "vcFleetConfig.h"
