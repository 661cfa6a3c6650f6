#pragma once

#include "gateway/model/upstream.h"
#include "gateway/quarantine/crash_report.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Hooks of a crash watch. @see crash_watch */
struct crash_watch_hooks {
    std::function<void(const std::string& crash_id, const prompt_parts& prompt)> on_crash;
    std::function<std::shared_ptr<const upstream_table>()> upstreams;
    /** Called with the outcome of each connection that is opened to an upstream. */
    std::function<void(const boost::asio::ip::tcp::endpoint& upstream, bool is_connected)> on_probe;
    /** Returns whether this node is cut off from the upstreams, so that a refusal shows no crash. */
    std::function<bool()> is_cut_off;
};

/** Returns whether a table shows that a run of an upstream has ended: its id has another start, or its
 * address has another upstream. */
bool is_replaced(const upstream_table& table, const upstream& earlier);

/**
    Tells crashes of upstreams from lost connections. After a broken response it opens a connection, which a
    crashed upstream's VM refuses. If the connection is accepted, the upstream may have been restarted at
   once, which its registration shows within seconds. An upstream that goes on under the same registration, or
   is silent because its VM or the way to it is lost, accuses nobody. Traffic thread only.

    @see quarantine_book
*/
class crash_watch {
public:
    explicit crash_watch(boost::asio::io_context& context, crash_watch_hooks hooks_to_use = {});
    ~crash_watch();
    crash_watch(const crash_watch&) = delete;
    crash_watch& operator=(const crash_watch&) = delete;

    /** Checks an upstream after its response to a prompt broke off. */
    void check(const upstream& target, prompt_parts prompt);

private:
    struct suspicion;
    struct probe;

    void start_probe(const std::shared_ptr<suspicion>& doubted);
    void on_probed(const std::shared_ptr<suspicion>& doubted, bool is_refused);
    void confirm_refusal(const std::shared_ptr<suspicion>& doubted);
    void await_registration(const std::shared_ptr<suspicion>& doubted);
    void finish(const std::shared_ptr<suspicion>& doubted, std::string_view outcome, bool is_crash);

    boost::asio::io_context& io;
    const crash_watch_hooks hooks;
    std::map<std::string, std::shared_ptr<suspicion>> pending; ///< By crash.
};

} // namespace samphireway::gateway
