#pragma once

/// Public header of the Batch library: jobs of several steps, their records
/// in the store, and the checks of what callers submit.

#include "vcBatchProgress.h"
#include "vcBatchSpec.h"
#include "vcFleetConfig.h"
