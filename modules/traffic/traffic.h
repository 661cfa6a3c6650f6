#pragma once

/**
    Traffic module: serves callers, relays requests to upstreams and returns their answers.
*/

#include "traffic/chat/attempt_runner.h"
#include "traffic/chat/chat_format.h"
#include "traffic/chat/chat_handler.h"
#include "traffic/chat/chat_request.h"
#include "traffic/chat/request_outcome.h"
#include "traffic/idempotency/idempotency_store.h"
#include "traffic/retry/retry_budget.h"
#include "traffic/server/authentication.h"
#include "traffic/server/drain_gate.h"
#include "traffic/server/front_server.h"
#include "traffic/service/service_handler.h"
#include "traffic/stream/chunk_sequence.h"
#include "traffic/stream/event_decoder.h"
#include "traffic/stream/reader_memory.h"
#include "traffic/stream/text_buffer.h"
#include "traffic/upstream/connection_pool.h"
#include "traffic/upstream/deadline_watch.h"
#include "traffic/upstream/engine_call.h"
#include "traffic/upstream/service_call.h"
