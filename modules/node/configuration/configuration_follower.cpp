#include "node/configuration/configuration_follower.h"

#include <malloc.h>

namespace samphireway::node {

namespace {

using clock = std::chrono::steady_clock;

/**
    Returns key prefixes that together cover all configuration objects. They are listed one by one,
    because one listing of everything would keep all lists in memory as JSON at the same time.
*/
std::vector<std::string> listing_prefixes()
{
    std::vector<std::string> prefixes{configuration::upstreams_key, configuration::moves_key};
    for (const char digit : std::string("0123456789")) {
        prefixes.push_back(std::string("config/plans/") + digit);
        prefixes.push_back(std::string("config/access/") + digit);
    }
    return prefixes;
}

} // namespace

configuration_follower::configuration_follower(configuration::distributor& target_to_use,
                                               follower_options options_to_use)
    : target(target_to_use), options(std::move(options_to_use))
{
}

configuration_follower::~configuration_follower()
{
    this->stop();
}

void configuration_follower::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void configuration_follower::stop()
{
    this->is_stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void configuration_follower::run()
{
    bool has_listed = false;
    while (!this->is_stopping) {
        if (!has_listed) {
            has_listed = this->list_all();
        }
        const bool has_answered = has_listed && this->watch_once();
        if (this->options.on_change) {
            this->options.on_change();
        }
        if (!has_answered && !this->is_stopping) {
            std::this_thread::sleep_for(this->options.retry_delay);
        }
    }
}

bool configuration_follower::list_all()
{
    // The watch starts from the revision of the first listing, so that it includes changes that were
    // made during the later listings.
    std::optional<platform::object_version> revision;
    for (const std::string& prefix : listing_prefixes()) {
        core::result<platform::watch_batch> batch = this->options.store.list(prefix);
        if (!batch) {
            this->target.observe_platform(false, clock::now());
            return false;
        }
        revision = revision.value_or(batch->revision);
        batch->revision = *revision;
        this->target.observe_batch(*batch, clock::now());
        *batch = {};
        malloc_trim(0);
    }
    this->target.mark_listing_complete();
    return true;
}

bool configuration_follower::watch_once()
{
    const core::steady_time deadline = clock::now() + this->options.watch_wait;
    const core::result<platform::watch_batch> batch =
        this->options.store.watch(configuration::configuration_prefix, this->target.revision(), deadline);
    if (!batch) {
        this->target.observe_platform(false, clock::now());
        return false;
    }
    this->target.observe_batch(*batch, clock::now());
    if (!batch->changed.empty()) {
        malloc_trim(0);
    }
    return true;
}

} // namespace samphireway::node
