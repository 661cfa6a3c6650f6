#include "gateway/http/socket_options.h"

#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace samphireway::gateway {

namespace {

void set_option(int descriptor, int level, int option, int value, std::string_view name)
{
    if (::setsockopt(descriptor, level, option, &value, sizeof value) != 0 && errno != EINVAL) {
        core::log_event(core::log_level::warning, "socket_option_refused",
                        {{"option", name}, {"reason", std::strerror(errno)}});
    }
}

} // namespace

void set_socket_options(boost::asio::ip::tcp::socket& socket, const unresponsive_peer_limits& limits)
{
    const int descriptor = socket.native_handle();
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1, "TCP_NODELAY");
    set_acknowledgement_timeout(socket, limits.unacknowledged_data);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1, "SO_KEEPALIVE");
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(limits.keep_alive_idle.count()),
               "TCP_KEEPIDLE");
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1, "TCP_KEEPINTVL");
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, limits.keep_alive_probes, "TCP_KEEPCNT");
}

void set_acknowledgement_timeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout)
{
    set_option(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()),
               "TCP_USER_TIMEOUT");
}

bool has_unacknowledged_data(boost::asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes > 0;
}

core::result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                             const boost::asio::ip::tcp::endpoint& address, int backlog)
{
    boost::system::error_code failure;
    acceptor.open(address.protocol(), failure);
    if (!failure) {
        acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure) {
        acceptor.bind(address, failure);
    }
    if (!failure) {
        acceptor.listen(backlog, failure);
    }
    if (failure) {
        const bool is_taken = failure == boost::asio::error::address_in_use ||
                              failure == boost::system::errc::address_not_available;
        const bool is_used_up = failure == boost::system::errc::too_many_files_open ||
                                failure == boost::system::errc::too_many_files_open_in_system;
        boost::system::error_code ignored; // The reason to report is that of the failed call.
        acceptor.close(ignored);
        return core::failure(is_taken     ? core::error_code::conflict
                             : is_used_up ? core::error_code::overloaded
                                          : core::error_code::internal,
                             "cannot listen on " + address.address().to_string() + ":" +
                                 std::to_string(address.port()) + ": " + failure.message());
    }
    return {};
}

} // namespace samphireway::gateway
