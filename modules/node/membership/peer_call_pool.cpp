#include "node/membership/peer_call_pool.h"

namespace samphireway::node {

namespace {

// Enough for one status call to each node of the largest fleet together with the heartbeats.
constexpr std::size_t maximum_queued = 1024;

} // namespace

peer_call_pool::peer_call_pool(membership::envelope_writer& writer, membership::envelope_reader& reader,
                               std::size_t thread_count)
{
    for (std::size_t count = 0; count < thread_count; ++count) {
        this->threads.emplace_back([this, &writer, &reader] { this->run(writer, reader); });
    }
}

peer_call_pool::~peer_call_pool()
{
    this->stop();
}

bool peer_call_pool::submit(job work)
{
    const std::lock_guard lock(this->mutex);
    if (this->is_stopping || this->queue.size() >= maximum_queued) {
        return false;
    }
    this->queue.push_back(std::move(work));
    this->wake.notify_one();
    return true;
}

void peer_call_pool::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
        this->queue.clear();
        this->wake.notify_all();
    }
    for (std::thread& thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void peer_call_pool::run(membership::envelope_writer& writer, membership::envelope_reader& reader)
{
    membership::peer_client client(writer, reader);
    std::unique_lock lock(this->mutex);
    while (true) {
        this->wake.wait(lock, [this] { return this->is_stopping || !this->queue.empty(); });
        if (this->is_stopping) {
            return;
        }
        const job work = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        work(client);
        lock.lock();
    }
}

} // namespace samphireway::node
