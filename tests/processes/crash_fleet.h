#pragma once

#include <chrono>
#include <string>

namespace samphireway::testing {

/** When an upstream crashes that answers a prompt with the deadly part. */
enum class crash_moment { before_head, after_head, after_first_event, in_the_middle };

/** How a crashed upstream comes back. */
enum class crash_restart {
    later_elsewhere,  ///< After a second, with the same id at another port.
    renamed,          ///< After a second, with another id at another port.
    at_once_same_port ///< At once with the same id; the port accepts connections all the time.
};

/** Load on two gateway processes whose upstreams crash. */
struct crash_scenario {
    crash_moment moment = crash_moment::before_head;
    crash_restart restart = crash_restart::later_elsewhere;
    bool is_stream = true;
    /** Position of the deadly part among the three parts of a prompt. */
    std::size_t deadly_position = 1;
    /** Without a deadly part an upstream is lost each second, whatever it runs. */
    bool has_deadly_part = true;
    std::chrono::seconds duration{12};
    unsigned seed = 1;
};

/** What callers and upstreams saw. */
struct crash_outcome {
    int crashes = 0;
    int late = 0;  ///< Requests with the deadly part at upstreams over 3 s after the fifth crash.
    int sound = 0; ///< Requests without the deadly part.
    int sound_served = 0;
    int sound_refused = 0; ///< Of the sound requests, those refused as crashing upstreams.
};

/** Plays a scenario with real gateway processes and returns what was seen. */
crash_outcome play(const crash_scenario& scenario);

/** Returns a line with the figures, and the 95 % confidence limit of the share of refused sound requests. */
std::string describe(const crash_outcome& outcome);

} // namespace samphireway::testing
