#pragma once

#include "core/core.h"

#include <httplib.h>
#include <json/json.h>
#include <mutex>
#include <string>

namespace samphireway::standin {

/**
    Faults of one stand-in, which can be switched at run time.

    `GET /faults` returns them and `PUT /faults` merges a JSON object into them. Each stand-in documents
    its faults; an unknown name gets status 400.
*/
class fault_switch {
public:
    /** Defines the known faults with their initial values. */
    explicit fault_switch(Json::Value initial);

    /** Adds `/faults` to a server. */
    void add_routes(httplib::Server& server);

    /** Returns a boolean fault; false when it is not a boolean. */
    bool is_on(const char* name) const;

    /** Returns a numeric fault; 0 when it is not an integer. */
    std::int64_t number(const char* name) const;

    /** Returns a text fault; empty when it is not a string. */
    std::string text(const char* name) const;

    /** Decrements a numeric fault that is above zero; returns whether it was above zero. */
    bool consume(const char* name);

private:
    bool merge(const Json::Value& changes);

    mutable std::mutex mutex;
    Json::Value faults;
};

} // namespace samphireway::standin
