#pragma once

#include "stage.hh"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace samphireway::testing {

/**
    The address at which nodes see a stand-in of the platform's store: its lists come in pages, and it can
   lose its history.

    It reads targets as servers do: names in paths and queries are decoded, and a target that is none is
   refused with 400.
*/
class paging_store {
public:
    paging_store(stage::store& whole_to_use, std::size_t page_entries_to_use);

    int port() const
    {
        return this->front.port();
    }

    /** Keeps no earlier changes, so that watches from there get 410. */
    void forget_history();

    /** Closes all connections. @pre the whole store has been stopped, so that no call waits for it */
    void stop();

private:
    void serve(stage::channel& from);
    stage::response answer(stage::channel& to, const stage::request& call);
    std::string cut_page(const std::string& list, const std::string& after) const;

    stage::store& whole;
    const std::size_t page_entries;
    std::atomic<std::int64_t> oldest_watched{0}; ///< Watches from earlier revisions get 410.
    stage::server front{[this](stage::channel& from) {
        this->serve(from);
    }};
};

} // namespace samphireway::testing
