#pragma once

namespace samphireway::core {

/**
    Holds back SIGHUP, SIGINT and SIGTERM in this thread and in those that it starts, whose default action
    ends the process. They stay pending until `release_signals`.

    @see release_signals
*/
void hold_signals() noexcept;

/** Lets this thread receive the signals, those that are pending first. Call it once handlers are set.
    @see hold_signals */
void release_signals() noexcept;

} // namespace samphireway::core
