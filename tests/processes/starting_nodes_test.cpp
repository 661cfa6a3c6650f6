#include "processes/gateway_process.h"

#include <criterion/criterion.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

/** A store with the configuration of a small deployment. */
class small_deployment {
public:
    small_deployment()
    {
        std::signal(SIGPIPE, SIG_IGN); // A node that has ended does not end the test.
        this->store.set("config", "main", stage::small_configuration());
    }
    ~small_deployment()
    {
        this->store.stop();
    }
    small_deployment(const small_deployment&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;

    const temporary_directory directory;
    stage::record notes{this->directory.path + "/record.txt"};
    stage::store store{this->notes};
};

/** Replaces a file by a pipe, so that its reader waits until the text is written. */
class file_that_waits {
public:
    explicit file_that_waits(std::string path_to_use) : path(std::move(path_to_use))
    {
        std::ifstream file(this->path);
        this->text.assign(std::istreambuf_iterator<char>(file), {});
        ::unlink(this->path.c_str());
        ::mkfifo(this->path.c_str(), 0600);
    }

    /** Waits until a process reads the file. */
    void await_reader()
    {
        this->descriptor = ::open(this->path.c_str(), O_WRONLY | O_CLOEXEC);
    }

    /** Passes the text on and puts the file back. */
    void release()
    {
        ::unlink(this->path.c_str());
        std::ofstream(this->path) << this->text;
        cr_assert_eq(::write(this->descriptor, this->text.data(), this->text.size()),
                     static_cast<ssize_t>(this->text.size()));
        ::close(this->descriptor);
    }

private:
    const std::string path;
    std::string text;
    int descriptor = -1;
};

} // namespace

// Guards against signals that end a node which is still reading its settings.
Test(starting_nodes, series_of_hangups_does_not_end_a_node, .timeout = 60)
{
    small_deployment deployment;
    gateway_process node({.id = "node-1",
                          .store_port = deployment.store.port(),
                          .directory = deployment.directory.path,
                          .starts_at_once = false});
    file_that_waits settings(node.settings_path());
    node.start();
    settings.await_reader();
    for (int count = 0; count < 20; ++count) {
        node.signal(SIGHUP);
        std::this_thread::sleep_for(1ms);
    }
    settings.release();
    cr_expect(node.wait_ready(10s));
    cr_expect(node.is_running(), "%s", node.describe_end().c_str());
    cr_expect(node.wait_log("event=settings_reloaded", 2s), "the signal was lost");
}

// Guards against a stop that counts as a failure since it comes while the node starts.
Test(starting_nodes, stop_during_the_start_ends_with_success, .timeout = 60)
{
    small_deployment deployment;
    gateway_process node({.id = "node-1",
                          .store_port = deployment.store.port(),
                          .directory = deployment.directory.path,
                          .starts_at_once = false});
    file_that_waits settings(node.settings_path());
    node.start();
    settings.await_reader();
    node.signal(SIGTERM);
    settings.release();
    cr_expect(node.wait_end(8s));
    cr_expect(node.has_succeeded(), "%s", node.describe_end().c_str());
}
