#pragma once

/// Public header of the Store library: messages to the platform's key-value
/// service, the rate limit for calls, and the client that sends them.

#include "vcKeyValue.h"
#include "vcStoreBudget.h"
#include "vcStoreClient.h"
#include "vcStoreMessages.h"
