#pragma once

#include "processes/gateway_process.h"
#include "processes/paging_store.h"
#include "stage.hh"

#include <cstddef>
#include <string>

namespace samphireway::testing {

/** Answers a request of any kind with a short text. */
bool serve_text(stage::channel& to, stage::request& received);

/** Sends a request that any upstream of the service `desk` can answer. Returns whether it was served. */
bool is_served(const gateway_process& node, int number);

/** Sends 20 such requests. Returns how many were served. */
int count_served(const gateway_process& node);

constexpr int counted_requests = 20; ///< @see count_served

/** A store with the configuration of a small deployment. Upstreams and nodes must end before it does. */
class small_deployment {
public:
    /** @param page_entries largest number of entries in a page of a list */
    explicit small_deployment(std::size_t page_entries = 500);
    ~small_deployment();
    small_deployment(const small_deployment&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;

    /** Returns the options of a node that uses this store. */
    gateway_process_options node_options(const std::string& id = "node-1") const;

    /** Returns the same for a node that its test starts. */
    gateway_process_options waiting_node_options() const;

    /** Writes an entry of another writer among those of the upstreams. It names no upstream. */
    void add_foreign_entry(const std::string& name);

    const temporary_directory directory;
    stage::record notes{this->directory.path + "/record.txt"};
    stage::store store{this->notes};
    paging_store pages; ///< Where the nodes see the store.
};

} // namespace samphireway::testing
