#pragma once

#include "traffic/idempotency/idempotency_store.h"
#include "traffic/upstream/engine_call.h"

#include <functional>
#include <string>

namespace samphireway::traffic {

/** One attempt of a call to a plain service. @see call_service */
struct service_request {
    endpoint where;
    std::string method;
    std::string path;
    std::string body;
    std::string content_type;
    std::string request_id;
    bool needs_fresh_connection = false; ///< Avoids idle connections, which may be broken unnoticed.
    std::function<bool()> may_send;      ///< Called right before sending; false fails with `not_run`.
    core::steady_time first_byte_deadline;
    std::chrono::milliseconds gap_timeout{0};
    core::steady_time deadline;
};

/**
    Runs one attempt and returns the answer of the service. The failure's verdict is `not_run` only when
    no byte can have reached the service.
*/
core::result<service_answer> call_service(connection_pool& connections, deadline_watch& watch,
                                          const service_request& request);

} // namespace samphireway::traffic
