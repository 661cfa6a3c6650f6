#include "platform/objects/http_call_pool.h"

#include <cstdint>
#include <utility>

namespace samphireway::platform {

namespace {

// A node makes a few watches and one ledger write at a time; more idle ones would only use memory.
constexpr std::size_t maximum_idle_connections = 16;

core::verdict verdict_of(httplib::Error error)
{
    return error == httplib::Error::Connection ? core::verdict::not_run : core::verdict::may_have_run;
}

} // namespace

http_call_pool::http_call_pool(http_call_pool_options options_to_use) : options(std::move(options_to_use)) {}

core::result<httplib::Response> http_call_pool::send(const httplib::Request& request,
                                                     std::chrono::milliseconds timeout)
{
    std::unique_ptr<httplib::Client> client = this->take_client();
    client->set_read_timeout(timeout);
    if (!this->begin_call(client.get())) {
        return core::failure(core::error_code::draining,
                             "platform call refused: the connection pool has been interrupted");
    }
    const core::steady_time give_up_at =
        std::chrono::steady_clock::now() + timeout + this->options.additional_body_time;
    std::string body;
    httplib::Request limited = request;
    limited.content_receiver = [this, give_up_at, &body](const char* bytes, std::size_t count,
                                                         std::uint64_t /*offset*/, std::uint64_t /*total*/) {
        const bool is_too_long = body.size() + count > this->options.maximum_body_bytes;
        if (is_too_long || std::chrono::steady_clock::now() > give_up_at) {
            return false;
        }
        body.append(bytes, count);
        return true;
    };
    httplib::Result answer = client->send(limited);
    this->end_call(client.get());
    if (!answer) {
        return core::failure(core::error_code::platform_unavailable,
                             "platform call failed: " + httplib::to_string(answer.error()),
                             verdict_of(answer.error()));
    }
    httplib::Response response = std::move(answer.value());
    response.body = std::move(body);
    this->return_client(std::move(client));
    return response;
}

void http_call_pool::interrupt()
{
    const std::lock_guard lock(this->mutex);
    this->is_interrupted = true;
    for (httplib::Client* client : this->active) {
        client->stop();
    }
}

bool http_call_pool::begin_call(httplib::Client* client)
{
    const std::lock_guard lock(this->mutex);
    if (!this->is_interrupted) {
        this->active.insert(client);
    }
    return !this->is_interrupted;
}

void http_call_pool::end_call(httplib::Client* client)
{
    const std::lock_guard lock(this->mutex);
    this->active.erase(client);
}

std::unique_ptr<httplib::Client> http_call_pool::take_client()
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->idle.empty()) {
            std::unique_ptr<httplib::Client> client = std::move(this->idle.back());
            this->idle.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(this->options.address, this->options.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(this->options.connect_timeout);
    client->set_write_timeout(this->options.connect_timeout);
    return client;
}

void http_call_pool::return_client(std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(this->mutex);
    if (this->idle.size() < maximum_idle_connections) {
        this->idle.push_back(std::move(client));
    }
}

} // namespace samphireway::platform
