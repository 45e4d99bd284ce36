#pragma once

/// Public header of the Store library: messages to the platform's key-value
/// service, the budget of calls, and the adapter that carries them.

#include "vcKeyValue.h"
#include "vcStoreBudget.h"
#include "vcStoreClient.h"
#include "vcStoreMessages.h"
