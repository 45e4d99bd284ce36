#pragma once

/// Public header of the Platform library: clients and messages for the
/// platform's workers and its instance list.

#include "vcInstanceList.h"
#include "vcResources.h"
#include "vcWorkerClient.h"
#include "vcWorkerMessages.h"
