#include "configuration/history/history_checker.h"

#include <algorithm>
#include <set>

namespace samphireway::configuration {

namespace {

std::string describe(const std::string& key, generation number)
{
    return key + " generation " + std::to_string(number);
}

void check_no_reverts(const configuration_history& history, std::vector<std::string>& violations)
{
    std::map<std::pair<std::string, std::string>, generation> highest;
    for (const served_generation& served : history.served) {
        generation& before = highest[{served.node, served.key}];
        if (served.in_force < before) {
            violations.push_back("node " + served.node + " reverted to " +
                                 describe(served.key, served.in_force));
        }
        before = std::max(before, served.in_force);
    }
}

void check_written_generations(const configuration_history& history, std::vector<std::string>& violations)
{
    std::map<std::pair<std::string, generation>, int> written;
    for (const accepted_edit& edit : history.edits) {
        if (++written[{edit.key, edit.written_generation}] > 1) {
            violations.push_back("two accepted edits wrote " + describe(edit.key, edit.written_generation));
        }
        if (edit.expected && edit.written_generation != *edit.expected + 1) {
            violations.push_back("an edit that expected " + describe(edit.key, *edit.expected) +
                                 " wrote generation " + std::to_string(edit.written_generation));
        }
    }
}

bool is_reachable_throughout(const configuration_history& history, const std::string& node,
                             core::steady_time from, core::steady_time until)
{
    return std::any_of(history.reachable.begin(), history.reachable.end(),
                       [&](const reachable_period& period) {
                           return period.node == node && period.from <= from && period.until >= until;
                       });
}

bool has_served(const configuration_history& history, const std::string& node, const accepted_edit& edit,
                core::steady_time until)
{
    return std::any_of(history.served.begin(), history.served.end(), [&](const served_generation& served) {
        return served.node == node && served.key == edit.key && served.in_force >= edit.written_generation &&
               served.at <= until;
    });
}

void check_propagation_time(const configuration_history& history, std::vector<std::string>& violations)
{
    std::set<std::string> nodes;
    for (const reachable_period& period : history.reachable) {
        nodes.insert(period.node);
    }
    for (const accepted_edit& edit : history.edits) {
        const core::steady_time until = edit.at + maximum_propagation_time;
        for (const std::string& node : nodes) {
            if (is_reachable_throughout(history, node, edit.at, until) &&
                !has_served(history, node, edit, until)) {
                violations.push_back("node " + node + " did not have " +
                                     describe(edit.key, edit.written_generation) +
                                     " in force within the time limit");
            }
        }
    }
}

} // namespace

std::vector<std::string> check_history(const configuration_history& history)
{
    std::vector<std::string> violations;
    check_no_reverts(history, violations);
    check_written_generations(history, violations);
    check_propagation_time(history, violations);
    return violations;
}

} // namespace samphireway::configuration
