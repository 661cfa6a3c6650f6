#include "service/service_standin.h"

#include <thread>

namespace samphireway::standin {

namespace {

constexpr const char* json_type = "application/json";
constexpr std::size_t maximum_threads = 1024;

Json::Value initial_faults()
{
    Json::Value faults(Json::objectValue);
    faults["delay_ms"] = 0;
    faults["lose_answers"] = 0;
    faults["refuse"] = false;
    return faults;
}

} // namespace

service_standin::service_standin(service_standin_options options_to_use)
    : options(std::move(options_to_use)), faults(initial_faults()), http({.address = this->options.address,
                                                                          .port = this->options.port,
                                                                          .maximum_threads = maximum_threads,
                                                                          .tls_certificate_file = {},
                                                                          .tls_key_file = {}})
{
}

core::result<void> service_standin::start()
{
    this->add_routes();
    return this->http.start();
}

void service_standin::add_routes()
{
    httplib::Server& server = this->http.server();
    this->faults.add_routes(server);
    server.Get("/counters", [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(this->mutex);
        Json::Value json(Json::objectValue);
        json["runs"] = Json::Value(Json::objectValue);
        for (const auto& [body, count] : this->runs) {
            json["runs"][body] = count;
        }
        response.set_content(core::write_json(json), json_type);
    });
    server.Post(".*", [this](const httplib::Request& request, httplib::Response& response) {
        if (this->faults.is_on("refuse")) {
            response.status = 503;
            return;
        }
        Json::Value json(Json::objectValue);
        {
            const std::lock_guard lock(this->mutex);
            ++this->runs[request.body];
            json["record"] = static_cast<Json::UInt64>(this->runs.size());
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(this->faults.number("delay_ms")));
        if (this->faults.consume("lose_answers")) {
            response.set_content_provider(1000, json_type,
                                          [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
            return;
        }
        response.set_content(core::write_json(json), json_type);
    });
    server.Get(".*", [](const httplib::Request& request, httplib::Response& response) {
        Json::Value json(Json::objectValue);
        json["path"] = request.path;
        response.set_content(core::write_json(json), json_type);
    });
}

} // namespace samphireway::standin
