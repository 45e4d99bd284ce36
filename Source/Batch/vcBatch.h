#pragma once

/// Public header of the Batch library: jobs that consist of steps, their
/// records in the store, the validation of submitted jobs, and the queues that
/// operators configure.

#include "vcBatchProgress.h"
#include "vcBatchSpec.h"
#include "vcFleetConfig.h"
