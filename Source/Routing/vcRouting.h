#pragma once

/// Public header of the Routing library: the table of targets, the choice of
/// a target, shares of slots, retries, hedges and admission.

#include "vcAdmission.h"
#include "vcRetryBudget.h"
#include "vcTargetTable.h"
