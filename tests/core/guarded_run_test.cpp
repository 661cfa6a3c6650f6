#include "core/core.h"
#include "gateway/control/object_follower.h"

#include <atomic>
#include <condition_variable>
#include <criterion/criterion.h>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>

namespace {

using namespace samphireway;

/** Lets a test wait until another thread has done something. */
class signal_flag {
public:
    void set()
    {
        const std::lock_guard lock(this->mutex);
        this->is_set = true;
        this->changed.notify_all();
    }

    bool wait()
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(20), [this] { return this->is_set; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool is_set = false;
};

} // namespace

// Guards against an unexpected error of any type that ends the process.
Test(guarded_run, exceptions_end_only_the_task)
{
    cr_assert(core::run_guarded("test", [] {}));
    cr_assert_not(core::run_guarded("test", [] { throw std::runtime_error("injected"); }));
    cr_assert_not(core::run_guarded("test", [] { throw 7; }));
}

// Guards against a control thread or worker that dies of one task, after which no other task would run.
Test(guarded_run, control_thread_and_workers_survive_an_error)
{
    signal_flag control_ran;
    signal_flag worker_ran;
    core::event_loop control;
    core::worker_pool workers{core::worker_pool_options{.maximum_threads = 1}};
    control.post([] { throw std::runtime_error("injected"); });
    control.post([&control_ran] { control_ran.set(); });
    cr_assert(workers.submit([] { throw std::runtime_error("injected"); }));
    cr_assert(workers.submit([&worker_ran] { worker_ran.set(); }));
    cr_assert(control_ran.wait());
    cr_assert(worker_ran.wait());
    workers.shutdown();
}

// Guards against a node that no longer hears the object API after one answer that could not be handled.
Test(guarded_run, follower_survives_an_error)
{
    signal_flag received;
    std::atomic<int> calls = 0;
    platform::object_store store;
    store.list = [&calls](const std::string&) -> core::result<platform::watch_batch> {
        if (++calls == 1) {
            throw std::runtime_error("injected");
        }
        return platform::watch_batch{.revision = 1, .changed = {}};
    };
    store.watch = [](const std::string&, platform::object_version after, core::steady_time) {
        return core::result<platform::watch_batch>(platform::watch_batch{.revision = after, .changed = {}});
    };
    gateway::object_follower follower(
        {.store = store,
         .prefix = "x/",
         .initial_retry_delay = std::chrono::milliseconds(1),
         .known_position = [] { return std::nullopt; },
         .pace = [] { return gateway::follower_pace{}; },
         .on_batch = [&received](const gateway::followed_batch&) { received.set(); },
         .on_failure =
             [](const core::error&) {
             }});
    follower.start();
    cr_assert(received.wait());
    follower.stop();
}

// Guards against a pool that waits for ever, when it is shut down, for a thread that could not be started.
Test(worker_pool, thread_that_cannot_be_started_refuses_the_task, .timeout = 20)
{
    bool can_start = false;
    core::worker_pool workers{
        core::worker_pool_options{.start_thread = [&can_start](std::function<void()> function) {
            if (!can_start) {
                throw std::system_error(std::make_error_code(std::errc::resource_unavailable_try_again));
            }
            std::thread(std::move(function)).detach();
        }}};
    bool has_run = false;
    cr_expect_not(workers.submit([&has_run] { has_run = true; }));
    cr_expect_eq(workers.thread_count(), 0);
    can_start = true;
    signal_flag ran;
    cr_assert(workers.submit([&ran] { ran.set(); }));
    cr_expect(ran.wait());
    workers.shutdown();
    cr_expect_not(has_run, "a refused task has run");
}

// Guards against a task that is lost or refused since a second thread cannot be started for it.
Test(worker_pool, task_waits_for_a_running_thread_when_no_other_can_be_started, .timeout = 20)
{
    int starts = 0;
    core::worker_pool workers{core::worker_pool_options{
        .maximum_queued = 1, .start_thread = [&starts](std::function<void()> function) {
            if (++starts > 1) {
                throw std::system_error(std::make_error_code(std::errc::resource_unavailable_try_again));
            }
            std::thread(std::move(function)).detach();
        }}};
    signal_flag began;
    signal_flag may_end;
    signal_flag ran;
    cr_assert(workers.submit([&] {
        began.set();
        may_end.wait();
    }));
    cr_assert(began.wait());
    cr_expect(workers.submit([&ran] { ran.set(); }));
    cr_expect_not(workers.submit([] {}), "the queue is longer than it may be");
    may_end.set();
    cr_expect(ran.wait());
    workers.shutdown();
}
