#pragma once

/// Public header of the Config library: the configuration that operators
/// declare, its validation, the journal of its changes and its distribution to
/// routers and schedulers.

#include "vcConfigChange.h"
#include "vcConfigFeed.h"
#include "vcConfigModel.h"
#include "vcConfigServer.h"
