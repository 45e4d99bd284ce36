#pragma once

/// Public header of the Config library: the operators' configuration, its
/// checks, its journal of changes and how it spreads.

#include "vcConfigChange.h"
#include "vcConfigFeed.h"
#include "vcConfigModel.h"
#include "vcConfigServer.h"
