#include "processes/budget_drill.h"

#include "processes/store_drill.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace samphireway::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds outage{800};
constexpr int prompt_tokens = 9000;
constexpr int answer_events = 10;
constexpr int tokens_per_event = 6;
constexpr std::size_t event_bytes = 55;
constexpr int status_served = 200;
constexpr int status_exhausted = 402;

bool answer_stream(stage::channel& to, stage::request& received)
{
    if (!to.write(stage::head_of_success(received, "text/event-stream") +
                  "Transfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int id = 1; id <= answer_events; ++id) {
        if (!to.write(stage::chunk(stage::event_text(id, event_bytes)))) {
            return false;
        }
    }
    return to.write("0\r\n\r\n");
}

std::int64_t count_events(const std::string& body)
{
    std::int64_t count = 0;
    for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

budget_drill::budget_drill(std::int64_t prepaid, std::size_t node_count)
{
    std::signal(SIGPIPE, SIG_IGN);
    this->raise_prepaid(prepaid);
    for (const char* const id : {"i-first", "i-second"}) {
        this->upstreams.push_back(std::make_unique<stage::engine>(
            this->registry, this->notes, stage::engine_options{.id = id, .service = "quoting"},
            answer_stream));
    }
    this->write_configuration();
    for (std::size_t index = 0; index < node_count; ++index) {
        this->start_node();
    }
}

void budget_drill::start_node()
{
    this->nodes.push_back(std::make_unique<gateway_process>(
        gateway_process_options{.id = "node-" + std::to_string(this->nodes.size() + 1),
                                .store_port = this->store.port(),
                                .directory = this->directory.path,
                                .program = program_of(static_cast<int>(this->nodes.size()))}));
}

budget_drill::~budget_drill()
{
    this->stop_load();
    this->nodes.clear();
    this->store.stop();
    for (const auto& upstream : this->upstreams) {
        upstream->stop();
    }
    this->registry.stop();
}

void budget_drill::wait_ready()
{
    for (const auto& node : this->nodes) {
        if (!node->wait_ready(10s)) {
            throw std::runtime_error(node->describe_end());
        }
    }
    std::this_thread::sleep_for(3s); // The nodes learn of each other.
}

void budget_drill::start_load(std::chrono::milliseconds interval)
{
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        this->load.emplace_back([this, node, interval] {
            for (int number = 1; !this->is_over; ++number) {
                const auto next = stage::steady::now() + interval;
                this->send(node, number);
                std::this_thread::sleep_until(next);
            }
        });
    }
}

void budget_drill::stop_load()
{
    this->is_over = true;
    for (std::thread& thread : this->load) {
        thread.join();
    }
    this->load.clear();
}

void budget_drill::send(std::size_t node, int number)
{
    outcome seen{.node = node, .sent_at = stage::steady::now()};
    std::int64_t events = 0;
    const std::string id = "b" + std::to_string(node) + "-" + std::to_string(number);
    try {
        const auto to = stage::channel::connect(this->nodes[node]->requester_port());
        to->write(stage::request_text(
            {.path = "/chat/1",
             .attempt_id = id,
             .deadline_ms = 4000,
             .usage = std::to_string(prompt_tokens) + "," + std::to_string(answer_events * tokens_per_event),
             .prompt = "5c1e07a2:8000," + std::to_string(1000 * (node + 1) + 7000000 + number) + ":1000",
             .body = "what does it cost?"}));
        const stage::response received = stage::read_response(*to);
        seen.status = received.status;
        events = received.status == status_served ? count_events(received.body) : 0;
    }
    catch (const std::exception&) {
        // The node is down; counts as not served.
    }
    seen.taken = std::chrono::duration_cast<std::chrono::milliseconds>(stage::steady::now() - seen.sent_at);
    const std::lock_guard lock(this->mutex);
    this->outcomes.push_back(seen);
    // The prompt counts once, and the output as far as it was delivered.
    this->delivered_tokens += events > 0 ? prompt_tokens + events * tokens_per_event : 0;
}

void budget_drill::raise_prepaid(std::int64_t tokens)
{
    this->configuration["version"] = this->configuration["version"].asInt() + 1;
    this->configuration["tenants"][0]["prepaid"] = static_cast<Json::Int64>(tokens);
}

void budget_drill::write_configuration()
{
    this->store.set("config", "main", this->configuration);
    for (const auto& upstream : this->upstreams) {
        this->store.set("servers", upstream->options.id, upstream->entry());
    }
}

void budget_drill::return_from_copy(const std::function<void()>& before_return)
{
    this->store.go_away();
    std::this_thread::sleep_for(outage);
    this->store.restore_copy();
    before_return();
    this->store.come_back();
}

std::vector<budget_drill::node_counts> budget_drill::counts_since(stage::steady::time_point time)
{
    std::vector<node_counts> result(this->nodes.size());
    const std::lock_guard lock(this->mutex);
    for (const outcome& seen : this->outcomes) {
        if (seen.sent_at < time) {
            continue;
        }
        node_counts& counts = result[seen.node];
        ++(seen.status == status_served      ? counts.served
           : seen.status == status_exhausted ? counts.exhausted
                                             : counts.others);
    }
    return result;
}

std::int64_t budget_drill::delivered()
{
    const std::lock_guard lock(this->mutex);
    return this->delivered_tokens;
}

std::string budget_drill::describe() const
{
    std::string result;
    for (const auto& node : this->nodes) {
        result += node->describe_end() + "\n";
    }
    return result;
}

} // namespace samphireway::testing
