#pragma once

#include "core/core.h"
#include "platform/objects/object_store.h"
#include "platform/vms/vm_list.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace samphireway::platform {

/** Options of the HTTP adapter to the platform. @see http_platform */
struct http_platform_options {
    std::string address; ///< IP address of the platform.
    int port = 0;
    std::chrono::milliseconds call_timeout{2000};
    /** Called after each call with its kind: get, put, remove, list, watch or vms. Must not block. */
    std::function<void(std::string_view kind, bool has_failed)> on_call = [](std::string_view, bool) {
    };
};

/**
    Client of the platform's HTTP interface.

    `make_object_store` and `make_vm_list` return the hooks that other modules use. Calls may come from
    any thread; each call uses an idle connection or opens a new one.

    @see object_store, vm_list
*/
class http_platform {
public:
    explicit http_platform(http_platform_options options);
    ~http_platform();
    http_platform(const http_platform&) = delete;
    http_platform& operator=(const http_platform&) = delete;

    /** Returns hooks that call the object API. They must not outlive this object. */
    object_store make_object_store();

    /** Returns a hook that reads the VM list. It must not outlive this object. */
    vm_list make_vm_list();

    /** Aborts waiting calls and fails later ones, so that shutdown does not wait for a watch. */
    void interrupt();

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace samphireway::platform
