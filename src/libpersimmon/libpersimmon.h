#pragma once

/// \file
/// Public header of libpersimmon, the deterministic logic of the daemons. The
/// library performs no input or output, reads no clock and takes no random
/// numbers other than from seeds that it is given.

#include "effects.h"
#include "events.h"
#include "node.h"
#include "schemas.h"
