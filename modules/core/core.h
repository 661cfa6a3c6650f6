#pragma once

/**
    Core module: errors and verdicts, hashing, JSON, logging, threads and clock hooks. Depends on no
    other module.
*/

#include "core/errors/error.h"
#include "core/errors/verdict.h"
#include "core/hash/hash.h"
#include "core/json/json.h"
#include "core/json/stored_json.h"
#include "core/log/buffered_log.h"
#include "core/log/log.h"
#include "core/threads/event_loop.h"
#include "core/threads/guarded_run.h"
#include "core/threads/held_signals.h"
#include "core/threads/published.h"
#include "core/threads/worker_pool.h"
#include "core/time/clock.h"
