#include "processes/store_drill.h"

#include "processes/small_deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace samphireway::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds outage{800};
constexpr std::chrono::milliseconds request_interval{25};
constexpr int nodes_with_relay = 3;

} // namespace

std::string program_of(int index)
{
    const char* const other = std::getenv("SAMPHIREWAY_TEST_OTHER_PROGRAM");
    return other != nullptr && index % 2 == drill_seed() % 2 ? other : "";
}

int drill_seed()
{
    const char* const text = std::getenv("SAMPHIREWAY_TEST_SEED");
    return text == nullptr ? 1 : std::atoi(text);
}

drill_upstream::drill_upstream(stage::store& registry, stage::record& notes, const std::string& id_to_use)
    : id(id_to_use), served(registry, notes, {.id = id_to_use, .service = "desk"},
                            [this](stage::channel& to, stage::request& received) {
                                {
                                    const std::lock_guard lock(this->mutex);
                                    this->arrivals.push_back(stage::steady::now());
                                }
                                return serve_text(to, received);
                            })
{
}

Json::Value drill_upstream::entry(const std::string& state, int restarts) const
{
    Json::Value result = this->served.entry(state);
    result["born"] = static_cast<Json::Int64>(result["born"].asInt64() + restarts);
    return result;
}

int drill_upstream::arrivals_after(stage::steady::time_point time)
{
    const std::lock_guard lock(this->mutex);
    return static_cast<int>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                          [time](const auto& arrival) { return arrival > time; }));
}

void drill_upstream::stop()
{
    this->served.stop();
}

store_drill::store_drill(int node_count)
{
    std::signal(SIGPIPE, SIG_IGN);
    this->store.set("config", "main", stage::small_configuration());
    this->write(this->first, "ready");
    this->write(this->second, "ready");
    for (int index = 0; index < node_count; ++index) {
        this->nodes.push_back(std::make_unique<gateway_process>(gateway_process_options{
            .id = "node-" + std::to_string(index + 1),
            .store_port = this->store.port(),
            .directory = this->directory.path,
            .relay_minimum_nodes = node_count < nodes_with_relay ? 0 : nodes_with_relay,
            .program = program_of(index)}));
    }
}

store_drill::~store_drill()
{
    this->is_over = true;
    for (std::thread& thread : this->load) {
        thread.join();
    }
    this->nodes.clear();
    this->store.stop();
    this->first.stop();
    this->second.stop();
    this->registry.stop();
}

void store_drill::start_load()
{
    for (const auto& node : this->nodes) {
        this->load.emplace_back([this, &node = *node] { this->send_requests(node); });
    }
}

void store_drill::send_requests(const gateway_process& node)
{
    while (!this->is_over) {
        const auto next = stage::steady::now() + request_interval;
        const int number = ++this->sent;
        try {
            this->served += is_served(node, number) ? 1 : 0;
        }
        catch (const std::exception&) {
            // Counts as not served.
        }
        std::this_thread::sleep_until(next);
    }
}

void store_drill::write(const drill_upstream& upstream, const std::string& state, int restarts)
{
    this->store.set("servers", upstream.id, upstream.entry(state, restarts));
}

void store_drill::return_from_copy(const std::function<void()>& before_return)
{
    this->store.go_away();
    std::this_thread::sleep_for(outage);
    this->store.restore_copy();
    before_return();
    this->store.come_back();
}

std::string store_drill::describe() const
{
    std::string result;
    for (const auto& node : this->nodes) {
        result += node->describe_end() + "\n";
    }
    return result;
}

} // namespace samphireway::testing
