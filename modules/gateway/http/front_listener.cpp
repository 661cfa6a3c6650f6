#include "gateway/http/front_listener.h"

#include "gateway/http/socket_options.h"

#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace samphireway::gateway {

namespace {

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

// Number of connections that may wait to be accepted. When the backlog is full, a requester's SYN is dropped
// and its connect takes seconds.
constexpr int accept_backlog = 4096;
// Delay before the next accept after a failed one, which mostly fails because no file descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

front_listener::front_listener(gateway_context& shared, const tcp::endpoint& address)
    : context(shared), endpoint(address), acceptor(shared.io)
{
}

core::result<void> front_listener::start()
{
    if (this->acceptor.is_open()) {
        return {};
    }
    core::result<void> listening = listen_on(this->acceptor, this->endpoint, accept_backlog);
    if (!listening) {
        return listening;
    }
    this->accept();
    return {};
}

void front_listener::accept()
{
    this->acceptor.async_accept([this](error_code failure, tcp::socket socket) {
        if (failure == boost::asio::error::operation_aborted) {
            return;
        }
        if (failure) {
            core::log_event(core::log_level::warning, "accept_failed", {{"reason", failure.message()}});
            auto pause = std::make_shared<boost::asio::steady_timer>(this->context.io, accept_retry_delay);
            pause->async_wait([this, pause](error_code) { this->accept(); });
            return;
        }
        auto session = std::make_shared<front_session>(this->context, std::move(socket));
        this->sessions.insert(session);
        this->context.counts.requester_connections = static_cast<std::int64_t>(this->sessions.size());
        const std::weak_ptr<front_session> ended = session;
        session->start([this, ended] {
            this->sessions.erase(ended.lock());
            this->context.counts.requester_connections = static_cast<std::int64_t>(this->sessions.size());
        });
        this->accept();
    });
}

void front_listener::close_idle()
{
    const std::vector<std::shared_ptr<front_session>> open(this->sessions.begin(), this->sessions.end());
    for (const std::shared_ptr<front_session>& session : open) {
        session->close_if_idle();
    }
}

void front_listener::answer_by(core::steady_time latest)
{
    const std::vector<std::shared_ptr<front_session>> open(this->sessions.begin(), this->sessions.end());
    for (const std::shared_ptr<front_session>& session : open) {
        session->answer_by(latest);
    }
}

void front_listener::close_all_but_deliveries()
{
    const std::vector<std::shared_ptr<front_session>> open(this->sessions.begin(), this->sessions.end());
    for (const std::shared_ptr<front_session>& session : open) {
        if (!session->is_in_delivery()) {
            session->close();
        }
    }
}

} // namespace samphireway::gateway
