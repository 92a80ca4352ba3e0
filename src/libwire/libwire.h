#pragma once

/// \file
/// Public header of libwire: messages, packing, result codes and hashes.

#include "hash.h"
#include "jsontext.h"
#include "message.h"
#include "packing.h"
#include "recordsize.h"
#include "result.h"
#include "resultcode.h"
