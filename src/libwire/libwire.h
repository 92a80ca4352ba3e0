#pragma once

/// \file
/// Public header of libwire: messages, result codes and hashes.

#include "hash.h"
#include "message.h"
#include "result.h"
#include "resultcode.h"
