#include "processes/gateway_process.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <fcntl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

constexpr std::size_t body_bytes = std::size_t{12} << 20U;
constexpr int small_receive_buffer = 16384;

/** Resets a connection; its descriptor stays valid. */
void reset(stage::channel& to)
{
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(to.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    const int null = ::open("/dev/null", O_RDWR | O_CLOEXEC);
    ::dup2(null, to.fd);
    ::close(null);
}

} // namespace

// Guards against a part of an answer that looks complete since its upstream reset the connection while it was
// still being sent the request.
Test(early_answers, unframed_answer_that_is_reset_during_the_upload_is_not_complete, .timeout = 120)
{
    const temporary_directory directory;
    stage::record notes(directory.path + "/record.txt");
    stage::store store(notes);
    Json::Value configuration = stage::small_configuration();
    configuration["limits"]["bodyBytes"] = static_cast<Json::Int64>(2 * body_bytes);
    store.set("config", "main", configuration);
    std::atomic<int> pause_ms{0};
    stage::engine upstream(store, notes,
                           {.id = "i-desk-1",
                            .service = "desk",
                            .receive_buffer = small_receive_buffer,
                            .reads_body_itself = true},
                           [&pause_ms](stage::channel& to, stage::request& received) {
                               const bool is_upload = received.method == "POST";
                               to.write(stage::head_of_success(received, "text/plain") +
                                        (is_upload ? "\r\npart" : "Content-Length: 4\r\n\r\nopen"));
                               if (is_upload) {
                                   std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
                                   reset(to);
                               }
                               return !is_upload;
                           });
    int complete = 0;
    constexpr int runs = 40;
    {
        gateway_process node({.id = "node-1", .store_port = store.port(), .directory = directory.path});
        cr_assert(node.wait_ready(15s), "%s", node.describe_end().c_str());
        for (int run = 0; run < runs; ++run) {
            pause_ms = 2 * run;
            const auto to = stage::channel::connect(node.requester_port());
            to->write(stage::request_text({.path = "/order/1",
                                           .attempt_id = "a" + std::to_string(run),
                                           .deadline_ms = 4000,
                                           .body = std::string(body_bytes, 'b')}));
            const stage::response received = stage::read_response(*to);
            complete += received.status == 200 && received.is_complete ? 1 : 0;
        }
        cr_assert(node.is_running(), "%s", node.describe_end().c_str());
    }
    std::printf("taken for complete: %d of %d\n", complete, runs);
    cr_expect_eq(complete, 0);
    upstream.stop();
    store.stop();
}
