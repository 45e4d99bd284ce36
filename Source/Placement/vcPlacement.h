#pragma once

/// Public header of the Placement library: where a task goes, in whose turn,
/// and at which size. Free functions over plain structs; time is passed in.

#include "vcFairness.h"
#include "vcInterference.h"
#include "vcPressure.h"
#include "vcSizing.h"
#include "vcWorkerChoice.h"
