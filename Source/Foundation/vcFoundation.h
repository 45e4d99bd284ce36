#pragma once

/// Public header of the Foundation library: time, hashing, names of
/// enumerators, the JSON codec, settings files and logging.

#include "vcCodec.h"
#include "vcErrorTable.h"
#include "vcHash.h"
#include "vcLog.h"
#include "vcLogRateLimiter.h"
#include "vcSettings.h"
#include "vcTime.h"
