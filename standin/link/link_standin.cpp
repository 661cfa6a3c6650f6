#include "link/link_standin.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace samphireway::standin {

namespace {

using std::chrono::milliseconds;

constexpr int accept_backlog = 512;
constexpr std::int64_t maximum_connections = 2048;
constexpr milliseconds poll_interval{50};

Json::Value initial_faults()
{
    Json::Value faults(Json::objectValue);
    faults["cut"] = false;
    faults["silent"] = false;
    faults["delay_ms"] = 0;
    return faults;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void disable_delay(int socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

/** Closes with a TCP reset, so that the peer sees a failed connection, not a normal close. */
void reset_connection(int socket)
{
    const linger immediate{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    close(socket);
}

bool write_all(int socket, const char* data, std::size_t size)
{
    while (size > 0) {
        const ssize_t written = send(socket, data, size, MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        data += written;
        size -= static_cast<std::size_t>(written);
    }
    return true;
}

} // namespace

struct link_standin::connection {
    std::atomic<bool> is_exempt = false; ///< Opened while `silent` was on, so not affected by it.
    std::atomic<bool> is_broken = false; ///< Cut or failed; both sides are reset.
};

link_standin::link_standin(link_standin_options options_to_use)
    : options(options_to_use), faults(initial_faults()), control({.address = "127.0.0.1",
                                                                  .port = this->options.control_port,
                                                                  .maximum_threads = 16,
                                                                  .tls_certificate_file = {},
                                                                  .tls_key_file = {}})
{
}

core::result<void> link_standin::start()
{
    httplib::Server& server = this->control.server();
    this->faults.add_routes(server);
    server.Get("/counters", [this](const httplib::Request&, httplib::Response& response) {
        Json::Value json(Json::objectValue);
        json["open"] = static_cast<Json::Int64>(this->open_connections.load());
        json["accepted"] = static_cast<Json::Int64>(this->accepted_connections.load());
        json["refused"] = static_cast<Json::Int64>(this->refused_connections.load());
        json["bytes"] = static_cast<Json::Int64>(this->bytes.load());
        response.set_content(core::write_json(json), "application/json");
    });
    const core::result<void> started = this->control.start();
    if (!started) {
        return started;
    }
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const sockaddr_in address = loopback(this->options.port);
    if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(this->listener, accept_backlog) != 0) {
        return core::failure(core::error_code::invalid_argument,
                             "cannot listen on port " + std::to_string(this->options.port));
    }
    std::thread([this] { this->accept_all(); }).detach();
    return {};
}

void link_standin::accept_all()
{
    while (true) {
        const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            std::this_thread::sleep_for(poll_interval);
            continue;
        }
        if (this->faults.is_on("cut") || this->open_connections >= maximum_connections) {
            ++this->refused_connections;
            reset_connection(accepted);
            continue;
        }
        ++this->accepted_connections;
        ++this->open_connections;
        std::thread([this, accepted] {
            this->serve_connection(accepted);
            --this->open_connections;
        }).detach();
    }
}

void link_standin::serve_connection(int accepted)
{
    const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(this->options.target_port);
    if (connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close(target);
        reset_connection(accepted);
        return;
    }
    disable_delay(accepted);
    disable_delay(target);
    connection state;
    state.is_exempt = this->faults.is_on("silent");
    std::thread reverse_direction([&] { this->forward(state, target, accepted); });
    this->forward(state, accepted, target);
    reverse_direction.join();
    if (state.is_broken) {
        reset_connection(accepted);
        reset_connection(target);
        return;
    }
    close(accepted);
    close(target);
}

bool link_standin::wait_while_silent(connection& state)
{
    while (true) {
        if (state.is_broken || this->faults.is_on("cut")) {
            state.is_broken = true;
            return false;
        }
        if (!this->faults.is_on("silent")) {
            state.is_exempt = false;
            return true;
        }
        if (state.is_exempt) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

void link_standin::forward(connection& state, int from, int to)
{
    std::array<char, 65536> buffer{};
    while (true) {
        pollfd readable{.fd = from, .events = POLLIN, .revents = 0};
        const int ready = poll(&readable, 1, static_cast<int>(poll_interval.count()));
        if (!this->wait_while_silent(state)) {
            return;
        }
        if (ready <= 0) {
            continue;
        }
        const ssize_t received = recv(from, buffer.data(), buffer.size(), 0);
        if (received <= 0) {
            // The sender has closed its side; the other direction may still carry a response.
            shutdown(to, SHUT_WR);
            return;
        }
        std::this_thread::sleep_for(milliseconds(this->faults.number("delay_ms")));
        if (!this->wait_while_silent(state)) {
            return;
        }
        if (!write_all(to, buffer.data(), static_cast<std::size_t>(received))) {
            state.is_broken = true;
            return;
        }
        this->bytes += received;
    }
}

} // namespace samphireway::standin
