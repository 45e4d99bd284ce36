#pragma once

/// Public header of the Routing library: target tables, selection of a target,
/// division of slots among routers, the retry budget and admission control.

#include "vcAdmission.h"
#include "vcRetryBudget.h"
#include "vcTargetTable.h"
