#pragma once

/// Public header of the Platform library: workers and the instance list.

#include "vcInstanceList.h"
#include "vcResources.h"
#include "vcWorkerClient.h"
#include "vcWorkerMessages.h"
