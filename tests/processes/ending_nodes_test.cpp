#include "processes/small_deployment.h"

#include <criterion/criterion.h>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <thread>
#include <vector>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

std::size_t count_in_log(const gateway_process& node, const std::string& text)
{
    const std::string log = node.read_log();
    std::size_t count = 0;
    for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
        ++count;
    }
    return count;
}

/** Sends signals until the process has ended. Returns false after the grace. */
bool send_until_end(gateway_process& node, int number, std::chrono::microseconds interval)
{
    const auto deadline = std::chrono::steady_clock::now() + 8s;
    while (node.is_running() && std::chrono::steady_clock::now() < deadline) {
        node.signal(number);
        std::this_thread::sleep_for(interval);
    }
    return !node.is_running();
}

void check_end_under(int number)
{
    constexpr int repeats = 10;
    for (int repeat = 0; repeat < repeats; ++repeat) {
        small_deployment deployment;
        gateway_process node(deployment.node_options());
        cr_assert(node.wait_ready(10s), "%s", node.describe_end().c_str());
        node.signal(SIGTERM);
        cr_expect(send_until_end(node, number, 50us), "%s", node.describe_end().c_str());
        cr_expect(node.has_succeeded(), "repeat %d: %s", repeat, node.describe_end().c_str());
    }
}

} // namespace

// Guards against SIGHUP that ends a node on its way out, after its handlers have gone.
Test(ending_nodes, hangups_until_the_end, .timeout = 150)
{
    check_end_under(SIGHUP);
}

// Guards against the same by a supervisor that repeats its SIGTERM.
Test(ending_nodes, repeated_stops_until_the_end, .timeout = 150)
{
    check_end_under(SIGTERM);
}

// Guards against settings that end a node, or are not taken over, since others were half written before them.
Test(ending_nodes, hangups_while_settings_are_replaced, .timeout = 60)
{
    constexpr int replacements = 20;
    small_deployment deployment;
    gateway_process node(deployment.node_options());
    std::ifstream written(node.settings_path());
    const std::string text{std::istreambuf_iterator<char>(written), {}};
    cr_assert(node.wait_ready(10s));
    for (int count = 1; count <= replacements; ++count) {
        const std::size_t part = text.size() * static_cast<std::size_t>(count) / (replacements + 1);
        std::ofstream(node.settings_path()) << text.substr(0, part);
        node.signal(SIGHUP);
        std::this_thread::sleep_for(20ms);
        node.signal(SIGHUP);
    }
    cr_assert(node.wait_log("event=settings_rejected", 5s), "no half settings were read");
    std::this_thread::sleep_for(500ms);
    const std::size_t before = count_in_log(node, "event=settings_reloaded");
    std::ofstream(node.settings_path()) << text;
    node.signal(SIGHUP);
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (count_in_log(node, "event=settings_reloaded") == before &&
           std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(50ms);
    }
    cr_assert(node.is_running(), "%s", node.describe_end().c_str());
    cr_expect_gt(count_in_log(node, "event=settings_reloaded"), before, "%s", node.describe_end().c_str());
}

// Guards against a node that ends, or stays unusable, since clients used up its descriptors for a while.
Test(ending_nodes, descriptors_used_up_while_serving, .timeout = 60)
{
    constexpr std::size_t clients = 150;
    small_deployment deployment;
    gateway_process_options options = deployment.node_options();
    options.maximum_descriptors = 60;
    gateway_process node(options);
    cr_assert(node.wait_ready(10s), "%s", node.describe_end().c_str());
    {
        std::vector<std::unique_ptr<stage::channel>> held;
        while (held.size() < clients) {
            held.push_back(
                stage::channel::connect(held.size() % 2 == 0 ? node.requester_port() : node.internal_port()));
        }
        deployment.store.set("config", "main", stage::small_configuration(8));
        deployment.pages.forget_history();
        std::this_thread::sleep_for(4s);
        cr_assert(node.is_running(), "%s", node.describe_end().c_str());
    }
    cr_expect(node.wait_ready(5s), "%s", node.describe_end().c_str());
    cr_expect(node.wait_log("event=configuration_in_force version=8", 10s), "%s",
              node.describe_end().c_str());
    node.signal(SIGTERM);
    cr_expect(node.wait_end(8s), "%s", node.describe_end().c_str());
    cr_expect(node.has_succeeded(), "%s", node.describe_end().c_str());
}
