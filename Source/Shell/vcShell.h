#pragma once

/// Public header of the Shell library, which holds the input and output that
/// the programs have in common: command line, settings, signals, store calls,
/// configuration, directory, job requests, metrics and health.

#include "vcConfigPoller.h"
#include "vcDirectory.h"
#include "vcJobProxy.h"
#include "vcMetrics.h"
#include "vcProgram.h"
#include "vcServerSupport.h"
#include "vcStoreCalls.h"
