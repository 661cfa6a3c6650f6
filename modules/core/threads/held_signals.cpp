#include "core/threads/held_signals.h"

#include <csignal>

namespace samphireway::core {

namespace {

void change_mask(int how) noexcept
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void hold_signals() noexcept
{
    change_mask(SIG_BLOCK);
}

void release_signals() noexcept
{
    change_mask(SIG_UNBLOCK);
}

} // namespace samphireway::core
