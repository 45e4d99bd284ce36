#pragma once

/// Public header of the Batch library: jobs of several steps, their records
/// in the store, and the checks of what callers submit.

#include "vcFleetConfig.h"
#include "vcJobProgress.h"
#include "vcJobSpec.h"
