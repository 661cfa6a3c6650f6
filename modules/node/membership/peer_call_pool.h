#pragma once

#include "membership/membership.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace samphireway::node {

/**
    A pool of threads that call peers. Each thread has its own client, because the JSON-RPC library
    requires it.

    @see membership::peer_client
*/
class peer_call_pool {
public:
    using job = std::function<void(membership::peer_client& client)>;

    peer_call_pool(membership::envelope_writer& writer, membership::envelope_reader& reader,
                   std::size_t thread_count);
    ~peer_call_pool();
    peer_call_pool(const peer_call_pool&) = delete;
    peer_call_pool& operator=(const peer_call_pool&) = delete;

    /** Queues a job. Returns false when the queue is full or the pool has been stopped. */
    bool submit(job work);

    /** Discards the queued jobs and waits for the running ones. Idempotent. */
    void stop();

private:
    void run(membership::envelope_writer& writer, membership::envelope_reader& reader);

    std::mutex mutex;
    std::condition_variable wake;
    std::deque<job> queue;
    bool is_stopping = false;
    std::vector<std::thread> threads;
};

} // namespace samphireway::node
