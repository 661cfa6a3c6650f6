#include "traffic/upstream/service_call.h"

#include <algorithm>

namespace samphireway::traffic {

namespace {

// Larger than any answer of the known services; limits the memory that one call can use.
constexpr std::size_t maximum_answer_bytes = 4U << 20U;

core::error interruption_failure(const deadline_watch& watch)
{
    const bool is_stopping = watch.is_interrupted();
    return core::error{.code = is_stopping ? core::error_code::draining : core::error_code::upstream_timeout,
                       .message = is_stopping ? "the node shut down before the answer was complete"
                                              : "the service did not answer in time",
                       .run = core::verdict::may_have_run};
}

} // namespace

core::result<service_answer> call_service(connection_pool& connections, deadline_watch& watch,
                                          const service_request& request)
{
    std::unique_ptr<httplib::Client> client =
        request.needs_fresh_connection ? connections.connect(request.where) : connections.take(request.where);
    service_answer answer;
    {
        watched_call call(watch, std::min(request.first_byte_deadline, request.deadline),
                          [&client] { client->stop(); });
        httplib::Request message;
        message.method = request.method;
        message.path = request.path;
        message.body = request.body;
        message.set_header("Content-Type", request.content_type);
        message.set_header("X-Request-Id", request.request_id);
        message.response_handler = [&answer](const httplib::Response& response) {
            answer.status = response.status;
            answer.content_type = response.get_header_value("Content-Type");
            return true;
        };
        message.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            const core::steady_time gap = std::chrono::steady_clock::now() + request.gap_timeout;
            call.set_deadline(std::min(gap, request.deadline));
            answer.body.append(data, size);
            return answer.body.size() <= maximum_answer_bytes;
        };
        if (!request.may_send() || call.is_interrupted()) {
            return tl::unexpected(unsent_failure(watch));
        }
        const httplib::Result result = client->send(message);
        if (!result) {
            const core::error failure = transport_failure(result.error());
            const bool is_timeout = call.is_interrupted() && failure.run != core::verdict::not_run;
            return tl::unexpected(is_timeout ? interruption_failure(watch) : failure);
        }
    }
    connections.give_back(request.where, std::move(client));
    return answer;
}

} // namespace samphireway::traffic
