#pragma once

/// Public header of the Node library: the one process of an entry instance
/// that takes callers' jobs and owns shards of jobs and workers.

#include "vcNodeProgram.h"
#include "vcNodeSettings.h"
