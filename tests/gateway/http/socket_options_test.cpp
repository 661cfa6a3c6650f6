#include "gateway/http/socket_options.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace {

using namespace samphireway;

int read_option(boost::asio::ip::tcp::socket& socket, int option)
{
    int value = 0;
    socklen_t length = sizeof value;
    ::getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &length);
    return value;
}

} // namespace

// Guards against a sound peer that is silent for a second or two and taken for gone: TCP_USER_TIMEOUT ends a
// connection at the first unanswered probe after it, whatever number of probes is set.
Test(socket_options, acknowledgement_timeout_leaves_time_for_all_probes)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.open(boost::asio::ip::tcp::v4());
    gateway::set_socket_options(socket);
    const int last_probe_ms =
        1000 * (read_option(socket, TCP_KEEPIDLE) +
                (read_option(socket, TCP_KEEPCNT) - 1) * read_option(socket, TCP_KEEPINTVL));
    cr_expect_geq(last_probe_ms, 2000);
    cr_expect_gt(read_option(socket, TCP_USER_TIMEOUT), last_probe_ms);
}
