#pragma once

/// Public header of the Placement library: choice of a worker for a task,
/// fairness between backers, estimation of task sizes, and interference
/// between tasks. Free functions over plain structs; the caller passes the
/// time.

#include "vcFairness.h"
#include "vcInterference.h"
#include "vcPressure.h"
#include "vcSizing.h"
#include "vcWorkerChoice.h"
