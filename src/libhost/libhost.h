#pragma once

/// \file
/// Public header of libhost: settings, logs and the host that runs a daemon.

#include "daemonhost.h"
#include "daemonprogram.h"
#include "daemonsettings.h"
#include "edgeprotocol.h"
#include "logging.h"
