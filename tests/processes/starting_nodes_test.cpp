#include "processes/small_deployment.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

/** A connection of another program whose own end has a given port. */
class connection_from_port {
public:
    explicit connection_from_port(int port, int target_port)
        : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in own = loopback(port);
        sockaddr_in target = loopback(target_port);
        this->is_open = ::bind(this->descriptor, reinterpret_cast<sockaddr*>(&own), sizeof own) == 0 &&
                        ::connect(this->descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0;
    }
    ~connection_from_port()
    {
        // After a reset the port is free at once.
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        ::close(this->descriptor);
    }
    connection_from_port(const connection_from_port&) = delete;
    connection_from_port& operator=(const connection_from_port&) = delete;

    bool is_open = false;

private:
    static sockaddr_in loopback(int port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    const int descriptor;
};

/** Replaces a file by a pipe, so that its reader waits until the text is written. */
class file_that_waits {
public:
    explicit file_that_waits(std::string path_to_use) : path(std::move(path_to_use))
    {
        std::ifstream file(this->path);
        this->text.assign(std::istreambuf_iterator<char>(file), {});
        ::unlink(this->path.c_str());
        ::mkfifo(this->path.c_str(), 0600);
    }

    /** Waits until a process reads the file. */
    void await_reader()
    {
        this->descriptor = ::open(this->path.c_str(), O_WRONLY | O_CLOEXEC);
    }

    /** Passes the text on and puts the file back. */
    void release()
    {
        ::unlink(this->path.c_str());
        std::ofstream(this->path) << this->text;
        cr_assert_eq(::write(this->descriptor, this->text.data(), this->text.size()),
                     static_cast<ssize_t>(this->text.size()));
        ::close(this->descriptor);
    }

private:
    const std::string path;
    std::string text;
    int descriptor = -1;
};

} // namespace

// Guards against signals that end a node which is still reading its settings.
Test(starting_nodes, series_of_hangups_does_not_end_a_node, .timeout = 60)
{
    small_deployment deployment;
    gateway_process node(deployment.waiting_node_options());
    file_that_waits settings(node.settings_path());
    node.start();
    settings.await_reader();
    for (int count = 0; count < 20; ++count) {
        node.signal(SIGHUP);
        std::this_thread::sleep_for(1ms);
    }
    settings.release();
    cr_expect(node.wait_ready(10s));
    cr_expect(node.is_running(), "%s", node.describe_end().c_str());
    cr_expect(node.wait_log("event=settings_reloaded", 2s), "the signal was lost");
}

// Guards against a stop that counts as a failure since it comes while the node starts.
Test(starting_nodes, stop_during_the_start_ends_with_success, .timeout = 60)
{
    small_deployment deployment;
    gateway_process node(deployment.waiting_node_options());
    file_that_waits settings(node.settings_path());
    node.start();
    settings.await_reader();
    node.signal(SIGTERM);
    settings.release();
    cr_expect(node.wait_end(8s));
    cr_expect(node.has_succeeded(), "%s", node.describe_end().c_str());
}

// Guards against a node that ends since one of its ports is the other end of a connection when it starts.
Test(starting_nodes, port_that_is_taken_for_a_moment_delays_the_start, .timeout = 60)
{
    for (const bool is_internal : {false, true}) {
        small_deployment deployment;
        gateway_process node(deployment.waiting_node_options());
        {
            const connection_from_port other(is_internal ? node.internal_port() : node.requester_port(),
                                             deployment.store.port());
            cr_assert(other.is_open);
            node.start();
            cr_expect_not(node.wait_ready(2s), "ready without its port");
            cr_assert(node.is_running(), "%s", node.describe_end().c_str());
        }
        cr_expect(node.wait_ready(5s));
    }
}

// Guards against a node that cannot be stopped while it waits for a port.
Test(starting_nodes, node_that_waits_for_a_port_stops, .timeout = 60)
{
    small_deployment deployment;
    gateway_process node(deployment.waiting_node_options());
    const connection_from_port other(node.requester_port(), deployment.store.port());
    cr_assert(other.is_open);
    node.start();
    std::this_thread::sleep_for(1s);
    node.signal(SIGTERM);
    cr_expect(node.wait_end(8s));
    cr_expect(node.has_succeeded(), "%s", node.describe_end().c_str());
}

// Guards against a node that ends since its settings are being replaced when it starts.
Test(starting_nodes, settings_that_are_being_written_delay_the_start, .timeout = 60)
{
    small_deployment deployment;
    gateway_process node(deployment.waiting_node_options());
    std::ifstream written(node.settings_path());
    const std::string text{std::istreambuf_iterator<char>(written), {}};
    std::ofstream(node.settings_path()) << text.substr(0, text.size() / 2);
    node.start();
    std::this_thread::sleep_for(500ms);
    std::ofstream(node.settings_path()) << text;
    cr_expect(node.wait_ready(5s));
    cr_expect(node.is_running(), "%s", node.describe_end().c_str());
}

// Guards against a node that ends since the descriptors for its ports are used up when it starts.
Test(starting_nodes, descriptors_that_are_used_up_do_not_end_a_node, .timeout = 60)
{
    small_deployment deployment;
    for (const int limit : {8, 9, 10}) {
        gateway_process_options options = deployment.node_options("node-" + std::to_string(limit));
        options.first_descriptors = limit;
        gateway_process node(options);
        cr_expect_not(node.wait_ready(500ms), "%d: ready without its ports", limit);
        cr_assert(node.is_running(), "%s", node.describe_end().c_str());
        cr_expect(node.wait_log("event=descriptors_used_up", 2s), "%s", node.describe_end().c_str());
        cr_expect(node.limit_descriptors(100));
        cr_expect(node.wait_ready(10s), "%s", node.describe_end().c_str());
    }
}

// Guards against a node that ends since descriptors are used up when it is constructed.
Test(starting_nodes, descriptors_that_are_used_up_delay_the_construction, .timeout = 60)
{
    small_deployment deployment;
    for (const int limit : {4, 7}) {
        gateway_process_options options = deployment.node_options("node-" + std::to_string(limit));
        options.first_descriptors = limit;
        gateway_process node(options);
        cr_expect(node.wait_log("event=node_not_constructed", 2s), "%s", node.describe_end().c_str());
        cr_assert(node.is_running(), "%s", node.describe_end().c_str());
        cr_expect(node.limit_descriptors(100));
        cr_expect(node.wait_ready(10s), "%s", node.describe_end().c_str());
    }
}

// Guards against a node that cannot be stopped while it waits for descriptors.
Test(starting_nodes, node_that_waits_for_descriptors_stops, .timeout = 60)
{
    small_deployment deployment;
    for (const int limit : {4, 7, 10}) {
        gateway_process_options options = deployment.node_options("node-" + std::to_string(limit));
        options.first_descriptors = limit;
        gateway_process node(options);
        std::this_thread::sleep_for(1s);
        node.signal(SIGTERM);
        cr_expect(node.wait_end(8s));
        cr_expect(node.has_succeeded(), "%s", node.describe_end().c_str());
    }
}
