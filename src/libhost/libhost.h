#pragma once

/// \file
/// Public header of libhost: settings, logging and the runtime of a daemon.

#include "daemonhost.h"
#include "daemonprogram.h"
#include "daemonsettings.h"
#include "edgeprotocol.h"
#include "logging.h"
