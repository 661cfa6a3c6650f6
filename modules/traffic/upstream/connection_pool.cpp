#include "traffic/upstream/connection_pool.h"

namespace samphireway::traffic {

connection_pool::connection_pool(connection_options options_to_use) : options(std::move(options_to_use)) {}

std::unique_ptr<httplib::Client> connection_pool::take(const endpoint& where)
{
    const core::steady_time now = std::chrono::steady_clock::now();
    std::vector<idle_connection> expired;
    {
        const std::lock_guard lock(this->mutex);
        std::vector<idle_connection>& connections = this->idle[where];
        if (!connections.empty() && connections.back().expires > now) {
            std::unique_ptr<httplib::Client> client = std::move(connections.back().client);
            connections.pop_back();
            return client;
        }
        expired.swap(connections);
    }
    return this->connect(where);
}

std::unique_ptr<httplib::Client> connection_pool::connect(const endpoint& where) const
{
    const std::string scheme = where.uses_tls ? "https://" : "http://";
    auto client =
        std::make_unique<httplib::Client>(scheme + where.address + ":" + std::to_string(where.port));
    if (where.uses_tls) {
        client->enable_server_certificate_verification(this->options.verifies_certificates);
        if (!this->options.tls_ca_file.empty()) {
            client->set_ca_cert_path(this->options.tls_ca_file.c_str());
        }
    }
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(this->options.connect_timeout);
    client->set_write_timeout(this->options.connect_timeout);
    client->set_read_timeout(this->options.read_timeout);
    return client;
}

void connection_pool::give_back(const endpoint& where, std::unique_ptr<httplib::Client> client)
{
    const core::steady_time expires = std::chrono::steady_clock::now() + this->options.idle_lifetime;
    const std::lock_guard lock(this->mutex);
    std::vector<idle_connection>& connections = this->idle[where];
    if (connections.size() < this->options.maximum_idle) {
        connections.push_back(idle_connection{.client = std::move(client), .expires = expires});
    }
}

} // namespace samphireway::traffic
