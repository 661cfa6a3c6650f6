#pragma once

/**
    Core module: verdicts, errors, clock hooks, logging, JSON and hashing. Depends on no other module.
*/

#include "core/errors/error.h"
#include "core/errors/verdict.h"
#include "core/hash/hash.h"
#include "core/json/json.h"
#include "core/log/buffered_log.h"
#include "core/log/log.h"
#include "core/threads/event_loop.h"
#include "core/threads/published.h"
#include "core/threads/worker_pool.h"
#include "core/time/clock.h"
