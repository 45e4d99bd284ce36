#pragma once

/// Public header of the Shell library: what every program shares around its
/// core: command line, settings, signals, store calls, metrics, health.

#include "vcConfigLink.h"
#include "vcDirectory.h"
#include "vcJobProxy.h"
#include "vcMetrics.h"
#include "vcProgram.h"
#include "vcServerSupport.h"
#include "vcStorePump.h"
