#include "processes/small_deployment.h"

#include <csignal>

namespace samphireway::testing {

bool serve_text(stage::channel& to, stage::request& received)
{
    to.write(stage::head_of_success(received, "text/plain") + "Content-Length: 4\r\n\r\nopen");
    return true;
}

bool is_served(const gateway_process& node, int number)
{
    const auto to = stage::channel::connect(node.requester_port());
    to->write(stage::request_text({.path = "/status/1",
                                   .method = "GET",
                                   .attempt_id = "a" + std::to_string(number),
                                   .deadline_ms = 2000}));
    return stage::read_response(*to).status == 200;
}

int count_served(const gateway_process& node)
{
    int served = 0;
    for (int number = 0; number < counted_requests; ++number) {
        served += is_served(node, number) ? 1 : 0;
    }
    return served;
}

small_deployment::small_deployment(std::size_t page_entries) : pages(this->store, page_entries)
{
    std::signal(SIGPIPE, SIG_IGN); // A node that has ended does not end the test.
    this->store.set("config", "main", stage::small_configuration());
}

small_deployment::~small_deployment()
{
    this->store.stop();
    this->pages.stop();
}

gateway_process_options small_deployment::node_options(const std::string& id) const
{
    return {.id = id, .store_port = this->pages.port(), .directory = this->directory.path};
}

gateway_process_options small_deployment::waiting_node_options() const
{
    gateway_process_options result = this->node_options();
    result.starts_at_once = false;
    return result;
}

void small_deployment::add_foreign_entry(const std::string& name)
{
    Json::Value entry;
    entry["service"] = "desk";
    entry["written_by"] = "an inventory tool";
    this->store.set("servers", name, entry);
}

} // namespace samphireway::testing
