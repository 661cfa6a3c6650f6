#include "traffic/server/front_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace samphireway::traffic {

namespace {

constexpr std::size_t keep_alive_requests = 1000000;
constexpr time_t keep_alive_seconds = 30;
constexpr int listen_backlog = 1024;

/** Lets the HTTP library run its connections on a pool that starts threads on demand. */
class elastic_task_queue : public httplib::TaskQueue {
public:
    explicit elastic_task_queue(std::size_t maximum_threads)
        : pool({.maximum_threads = maximum_threads, .maximum_queued = 0})
    {
    }

    void enqueue(std::function<void()> work) override
    {
        // The library's interface cannot refuse a task. Above the limit, the task runs on the accepting
        // thread, which delays further connections.
        if (!this->pool.submit(work)) {
            work();
        }
    }

    void shutdown() override
    {
        this->pool.shutdown();
    }

private:
    core::worker_pool pool;
};

void set_socket_options(socket_t socket)
{
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

} // namespace

front_server::front_server(front_server_options options_to_use) : options(std::move(options_to_use))
{
    if (this->options.tls_certificate_file.empty()) {
        this->http = std::make_unique<httplib::Server>();
    }
    else {
        this->http = std::make_unique<httplib::SSLServer>(this->options.tls_certificate_file.c_str(),
                                                          this->options.tls_key_file.c_str());
    }
    const std::size_t threads = this->options.maximum_threads;
    this->http->new_task_queue = [threads] {
        return new elastic_task_queue(threads);
    };
    this->http->set_tcp_nodelay(true);
    this->http->set_socket_options([this](socket_t socket) {
        set_socket_options(socket);
        this->listener = socket;
    });
    this->http->set_keep_alive_max_count(keep_alive_requests);
    this->http->set_keep_alive_timeout(keep_alive_seconds);
    this->http->set_write_timeout(this->options.write_timeout);
    this->http->set_payload_max_length(this->options.maximum_body_bytes);
}

front_server::~front_server()
{
    this->stop();
}

httplib::Server& front_server::server()
{
    return *this->http;
}

core::result<void> front_server::start()
{
    if (!this->http->is_valid() ||
        !this->http->bind_to_port(this->options.address.c_str(), this->options.port)) {
        return core::failure(core::error_code::invalid_argument, "cannot listen on " + this->options.address +
                                                                     ":" +
                                                                     std::to_string(this->options.port));
    }
    // The library listens with a backlog of 5. Callers that connect at the same time overflow it, and
    // each of those connections waits one second for the retransmission of its first packet.
    listen(this->listener, listen_backlog);
    this->thread = std::thread([this] { this->http->listen_after_bind(); });
    return {};
}

void front_server::stop()
{
    if (!this->thread.joinable()) {
        return;
    }
    this->http->stop();
    this->thread.join();
}

} // namespace samphireway::traffic
