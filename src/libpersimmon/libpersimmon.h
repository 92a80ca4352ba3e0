#pragma once

/// \file
/// Public header of libpersimmon: the decisions of the daemons. Nothing in
/// this library does input or output, reads a clock or draws randomness.

#include "effects.h"
#include "events.h"
#include "node.h"
#include "schemas.h"
